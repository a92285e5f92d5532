#pragma once

#include <QList>
#include <QString>

#include <compare>

namespace Rattanpick
{

/// Where a finding stands: file name, line from 1 (0 for the file as a whole) and section.
struct FindingLocation
{
    QString file;
    int line = 0;
    QString section;

    bool operator==(const FindingLocation &) const = default;
};

/// One thing that is wrong with a settings file or a document.
struct Finding
{
    FindingLocation location;
    QString problem;
    QString allowed;

    bool operator==(const Finding &) const = default;

    /// "fleet.ini:12: [target a]: unknown key "wieght" (allowed: weight, slots)".
    QString toString() const;
};

/// All findings of one check, in the order of their lines.
using Findings = QList<Finding>;

}
