#include "operators/documentdiff.h"

#include "operators/inireader.h"

#include <QHash>

#include <array>

namespace Rattanpick
{

namespace
{

QHash<QString, const IniSection *> byTitle(const QList<IniSection> &sections)
{
    QHash<QString, const IniSection *> found;
    for (const IniSection &section : sections) {
        found.insert(section.heading.title(), &section);
    }
    return found;
}

void appendKeyChanges(const IniSection &earlier, const IniSection &later, QList<DocumentChange> &changes)
{
    const QString title = earlier.heading.title();
    for (const IniEntry &entry : earlier.entries) {
        const IniEntry *other = later.find(entry.key);
        if (other == nullptr) {
            changes.append({ChangeKind::Removed, title, entry.key, entry.value, {}});
        } else if (other->value != entry.value) {
            changes.append({ChangeKind::Changed, title, entry.key, entry.value, other->value});
        }
    }
    for (const IniEntry &entry : later.entries) {
        if (earlier.find(entry.key) == nullptr) {
            changes.append({ChangeKind::Added, title, entry.key, {}, entry.value});
        }
    }
}

}

QString DocumentChange::toString() const
{
    constexpr std::array signs{'+', '~', '-'};
    QString text = QStringLiteral("%1 [%2]").arg(QLatin1Char(signs.at(static_cast<std::size_t>(kind)))).arg(section);
    if (key.isEmpty()) {
        return text;
    }
    text += QStringLiteral(" %1 = ").arg(key);
    return kind == ChangeKind::Changed ? text + before + QStringLiteral(" -> ") + after : text + (kind == ChangeKind::Added ? after : before);
}

DocumentDiff::DocumentDiff(const QByteArray &earlier, const QByteArray &later)
{
    const QList<IniSection> earlierSections = IniReader(QString()).read(earlier);
    const QList<IniSection> laterSections = IniReader(QString()).read(later);
    const QHash<QString, const IniSection *> earlierByTitle = byTitle(earlierSections);
    const QHash<QString, const IniSection *> laterByTitle = byTitle(laterSections);
    for (const IniSection &section : earlierSections) {
        const IniSection *other = laterByTitle.value(section.heading.title());
        if (other == nullptr) {
            m_changes.append({ChangeKind::Removed, section.heading.title(), {}, {}, {}});
            continue;
        }
        appendKeyChanges(section, *other, m_changes);
    }
    for (const IniSection &section : laterSections) {
        if (!earlierByTitle.contains(section.heading.title())) {
            m_changes.append({ChangeKind::Added, section.heading.title(), {}, {}, {}});
        }
    }
}

}
