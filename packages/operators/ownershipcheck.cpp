#include "operators/ownershipcheck.h"

#include "operators/documenttext.h"
#include "operators/inireader.h"
#include "operators/sectionreader.h"

#include <QHash>

#include <algorithm>
#include <utility>

namespace Rattanpick
{

namespace
{

struct OwnedSection
{
    QString owner;
    int line = 0;
};

QHash<QString, OwnedSection> ownersOf(const QByteArray &text)
{
    QHash<QString, OwnedSection> owners;
    for (const IniSection &section : IniReader(QString()).read(text)) {
        const IniEntry *owner = section.find(QStringLiteral("owner"));
        const bool isTeam = section.heading.kind == QLatin1String("team");
        const QString fallback = isTeam ? section.heading.name : QString();
        owners.insert(section.heading.title(), {owner != nullptr && !owner->value.isEmpty() ? owner->value : fallback, section.line});
    }
    return owners;
}

bool isShared(const QString &title)
{
    return title.isEmpty() || title == QLatin1String("document");
}

// Leading and trailing blank lines only separate sections and are ignored.
QByteArray normalised(const QByteArray &text)
{
    return withNormalisedLineEnds(text).trimmed();
}

// A title may occur more than once in an invalid text. Such sections are concatenated, so that all of them are checked.
QHash<QString, QByteArray> textsOf(const QByteArray &text)
{
    QHash<QString, QByteArray> texts;
    const DocumentText document = DocumentText::fromText(text);
    for (const DocumentSection &section : document.sections()) {
        texts[section.title] += normalised(section.text) + '\n';
    }
    return texts;
}

}

OwnershipCheck::OwnershipCheck(const QString &file, const QString &team)
    : m_file(file)
    , m_team(team)
{
}

Findings OwnershipCheck::check(const QByteArray &earlier, const QByteArray &later) const
{
    const QHash<QString, OwnedSection> earlierOwners = ownersOf(earlier);
    const QHash<QString, OwnedSection> laterOwners = ownersOf(later);
    const QHash<QString, QByteArray> earlierTexts = textsOf(earlier);
    const QHash<QString, QByteArray> laterTexts = textsOf(later);
    Findings findings;

    const auto report = [&](const QString &title, const QString &owner, const QString &what) {
        if (isShared(title) || owner == m_team) {
            return;
        }
        const QString problem =
            owner.isEmpty() ? QStringLiteral("section without an owner was %1").arg(what) : QStringLiteral("section of team %1 was %2").arg(owner, what);
        findings.append({{m_file, laterOwners.value(title).line, title}, problem, QStringLiteral("changes to sections of team %1").arg(m_team)});
    };

    const QString teamTitle = QStringLiteral("team ") + m_team;
    if (!earlierOwners.contains(teamTitle) && !laterOwners.contains(teamTitle)) {
        findings.append({{m_file, 0, {}}, QStringLiteral("team %1 does not exist").arg(m_team), QStringLiteral("the name of a [team NAME] section")});
    }
    for (auto entry = laterTexts.cbegin(); entry != laterTexts.cend(); ++entry) {
        if (!earlierTexts.contains(entry.key())) {
            report(entry.key(), laterOwners.value(entry.key()).owner, QStringLiteral("added"));
        } else if (earlierTexts.value(entry.key()) != entry.value()) {
            report(entry.key(), earlierOwners.value(entry.key()).owner, QStringLiteral("changed"));
        }
    }
    for (auto entry = earlierTexts.cbegin(); entry != earlierTexts.cend(); ++entry) {
        if (!laterTexts.contains(entry.key())) {
            report(entry.key(), earlierOwners.value(entry.key()).owner, QStringLiteral("removed"));
        }
    }
    // Removed sections have no line and are ordered by title, so that the result depends only on the texts.
    std::ranges::sort(findings, {}, [](const Finding &finding) { return std::pair(finding.location.line, finding.location.section); });
    return findings;
}

}
