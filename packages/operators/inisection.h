#pragma once

#include "operators/iniheading.h"

#include <QList>
#include <QString>

namespace Rattanpick
{

/// One "KEY = VALUE" line with its line number, from 1.
struct IniEntry
{
    QString key;
    QString value;
    int line = 0;

    bool operator==(const IniEntry &) const = default;
};

/// One section of an INI text, with the line number of its heading.
struct IniSection
{
    IniHeading heading;
    int line = 0;
    /// The entries in the order of the text, with unique keys.
    QList<IniEntry> entries;

    bool operator==(const IniSection &) const = default;

    /// The entry with the key, or null.
    const IniEntry *find(const QString &key) const
    {
        for (const IniEntry &entry : entries) {
            if (entry.key == key) {
                return &entry;
            }
        }
        return nullptr;
    }
};

}
