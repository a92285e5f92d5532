#pragma once

#include <QString>
#include <QtGlobal>

#include <compare>

namespace Rattanpick
{

/// A position in the history of the directory source.
///
/// A source that was restored from an older copy gives out the same revisions again, in a later era. Positions of different eras are
/// ordered by their eras alone.
struct DirectoryPosition
{
    /// Increased by each restoration; 0 if the source or the peer does not tell it.
    quint64 era = 0;
    /// Increased by each change within an era; 0 before the first full read.
    quint64 revision = 0;

    constexpr DirectoryPosition() = default;

    /// A position of a source without eras.
    constexpr DirectoryPosition(quint64 plainRevision)
        : revision(plainRevision)
    {
    }

    constexpr DirectoryPosition(quint64 positionEra, quint64 eraRevision)
        : era(positionEra)
        , revision(eraRevision)
    {
    }

    /// Whether nothing has been read yet.
    constexpr bool isNull() const
    {
        return era == 0 && revision == 0;
    }

    /// For logs: the revision, and the era if there is one.
    QString toString() const
    {
        return era == 0 ? QString::number(revision) : QStringLiteral("%1 of era %2").arg(revision).arg(era);
    }

    constexpr auto operator<=>(const DirectoryPosition &) const = default;
};

}
