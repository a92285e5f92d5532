#pragma once

#include "configservice/instance.h"

#include <QString>
#include <QStringList>

namespace Rattanpick
{

/// Chooses the instances that read the platform, from the lagging instance list alone and without coordination.
///
/// Nodes with different lists may choose different readers for a while; more or fewer readers do no harm.
class ReaderElection
{
public:
    /// Builds an election of @p readersPerDataCentre readers, at least 1.
    explicit ReaderElection(int readersPerDataCentre);

    /// Names of the readers of the data centre, highest rendezvous hash first; leaving instances are never chosen.
    QStringList readers(const InstanceList &instances, const QString &dataCentre) const;

    /// Whether the named instance is one of the readers of the data centre.
    bool isReader(const InstanceList &instances, const QString &dataCentre, const QString &name) const;

private:
    int m_readersPerDataCentre;
};

}
