#pragma once

#include "core/finding.h"

#include <QByteArray>
#include <QString>

namespace Rattanpick
{

/// Checks that a team changes only its own sections of the document.
///
/// The owner of an existing section is taken from the earlier document, the owner of a new section from the later
/// document. The section [document] and the text before the first section may be changed by every team, since each
/// change increments the version.
class OwnershipCheck
{
public:
    /// Creates a check of changes by @p team. @p file is the name of the later document in its findings.
    OwnershipCheck(const QString &file, const QString &team);

    /// Returns a finding for each added, changed or removed section that the team does not own, ordered by line.
    Findings check(const QByteArray &earlier, const QByteArray &later) const;

private:
    QString m_file;
    QString m_team;
};

}
