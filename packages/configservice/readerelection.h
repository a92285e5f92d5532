#pragma once

#include "configservice/instance.h"

#include <QString>
#include <QStringList>

namespace Rattanpick
{

/// Elects the instances that read the platform by rendezvous hashing over the instance list, without coordination.
///
/// The instance list may be out of date, and nodes with different lists may temporarily elect different readers. A
/// wrong number of readers is harmless.
class ReaderElection
{
public:
    /// Creates an election of @p readersPerDataCentre readers, at least 1.
    explicit ReaderElection(int readersPerDataCentre);

    /// Names of the readers of the data centre, highest rendezvous hash first. Leaving instances are never elected.
    QStringList readers(const InstanceList &instances, const QString &dataCentre) const;

    /// Whether the named instance is one of the readers of the data centre.
    bool isReader(const InstanceList &instances, const QString &dataCentre, const QString &name) const;

private:
    int m_readersPerDataCentre;
};

}
