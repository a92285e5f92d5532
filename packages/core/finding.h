#pragma once

#include <QList>
#include <QString>

#include <compare>

namespace Rattanpick
{

/// The location of a finding: file name, line number from 1 (0 for the file as a whole) and section.
struct FindingLocation
{
    QString file;
    int line = 0;
    QString section;

    bool operator==(const FindingLocation &) const = default;
};

/// One error in a settings file or a document.
struct Finding
{
    FindingLocation location;
    QString problem;
    QString allowed;

    bool operator==(const Finding &) const = default;

    /// Formats the finding, such as
    /// "fleet.ini:12: [target a]: unknown key "wieght" (allowed: weight, slots)".
    QString toString() const;
};

/// All findings of one check, ordered by line.
using Findings = QList<Finding>;

}
