#include "operators/sectionreader.h"

#include <QRegularExpression>

#include <algorithm>

namespace Rattanpick
{

namespace
{

constexpr quint32 firstMulticastAddress = 0xe0000000;

}

SectionReader::SectionReader(const IniSection &section, const QString &file, Findings &findings)
    : m_section(section)
    , m_file(file)
    , m_findings(findings)
{
}

QString SectionReader::requiredText(const QString &key)
{
    const IniEntry *entry = findRequired(key);
    if (entry == nullptr) {
        return {};
    }
    if (entry->value.isEmpty()) {
        report(key, QStringLiteral("key \"%1\" has no value").arg(key), QStringLiteral("a value"));
    }
    return entry->value;
}

QString SectionReader::requiredName(const QString &key)
{
    QString name = requiredText(key);
    if (!name.isEmpty() && !IniHeading::isName(name)) {
        report(key, QStringLiteral("\"%1\" is no name: %2").arg(key, name), QStringLiteral("at most 63 letters, digits, '.', '_' and '-'"));
        return {};
    }
    return name;
}

QString SectionReader::optionalText(const QString &key)
{
    const IniEntry *entry = find(key);
    return entry != nullptr ? entry->value : QString();
}

qint64 SectionReader::number(const QString &key, qint64 minimum, qint64 maximum, std::optional<qint64> fallback)
{
    const IniEntry *entry = fallback.has_value() ? find(key) : findRequired(key);
    if (entry == nullptr) {
        return fallback.value_or(minimum);
    }
    bool isNumber = false;
    const qint64 value = entry->value.toLongLong(&isNumber);
    if (!isNumber || value < minimum || value > maximum) {
        const QString problem = isNumber ? QStringLiteral("\"%1\" is out of range: %2") : QStringLiteral("\"%1\" is no whole number: %2");
        report(key, problem.arg(key, entry->value), QStringLiteral("%1 to %2").arg(minimum).arg(maximum));
        return fallback.value_or(minimum);
    }
    return value;
}

double SectionReader::decimal(const QString &key, double minimum, double maximum, double fallback)
{
    const IniEntry *entry = find(key);
    if (entry == nullptr) {
        return fallback;
    }
    bool isNumber = false;
    const double value = entry->value.toDouble(&isNumber);
    if (!isNumber || !(value >= minimum && value <= maximum)) {
        const QString problem = isNumber ? QStringLiteral("\"%1\" is out of range: %2") : QStringLiteral("\"%1\" is no number: %2");
        report(key, problem.arg(key, entry->value), QStringLiteral("%1 to %2").arg(minimum).arg(maximum));
        return fallback;
    }
    return value;
}

qsizetype SectionReader::choice(const QString &key, const QStringList &choices, std::optional<qsizetype> fallback)
{
    const IniEntry *entry = fallback.has_value() ? find(key) : findRequired(key);
    if (entry == nullptr) {
        return fallback.value_or(0);
    }
    const qsizetype index = choices.indexOf(entry->value);
    if (index < 0) {
        report(key, QStringLiteral("\"%1\" has an unknown value: %2").arg(key, entry->value), choices.join(QStringLiteral(", ")));
        return fallback.value_or(0);
    }
    return index;
}

Endpoint SectionReader::endpoint(const QString &key)
{
    const IniEntry *entry = findRequired(key);
    return entry != nullptr ? parseEndpoint(key, entry->value).value_or(Endpoint()) : Endpoint();
}

QList<Endpoint> SectionReader::endpoints(const QString &key, bool isRequired)
{
    static const QRegularExpression separator(QStringLiteral("[,\\s]+"));
    const IniEntry *entry = isRequired ? findRequired(key) : find(key);
    if (entry == nullptr) {
        return {};
    }
    QList<Endpoint> endpoints;
    for (const QString &text : entry->value.split(separator, Qt::SkipEmptyParts)) {
        const std::optional<Endpoint> parsed = parseEndpoint(key, text);
        if (!parsed.has_value()) {
            continue;
        }
        if (endpoints.contains(*parsed)) {
            report(key, QStringLiteral("\"%1\" names %2 twice").arg(key, text), QStringLiteral("each address once"));
            continue;
        }
        endpoints.append(*parsed);
    }
    if (entry->value.isEmpty() && isRequired) {
        report(key, QStringLiteral("key \"%1\" has no value").arg(key), QStringLiteral("one or more IPv4 addresses and ports"));
    }
    return endpoints;
}

void SectionReader::report(const QString &key, const QString &problem, const QString &allowed)
{
    m_findings.append({{m_file, lineOf(key), m_section.heading.title()}, problem, allowed});
}

void SectionReader::reportUnknownKeys()
{
    for (const IniEntry &entry : m_section.entries) {
        if (!m_knownKeys.contains(entry.key)) {
            report(entry.key, QStringLiteral("unknown key \"%1\"").arg(entry.key), m_knownKeys.join(QStringLiteral(", ")));
        }
    }
}

int SectionReader::lineOf(const QString &key) const
{
    const IniEntry *entry = m_section.find(key);
    return entry != nullptr ? entry->line : m_section.line;
}

const IniEntry *SectionReader::find(const QString &key)
{
    m_knownKeys.append(key);
    return m_section.find(key);
}

const IniEntry *SectionReader::findRequired(const QString &key)
{
    const IniEntry *entry = find(key);
    if (entry == nullptr) {
        report(key, QStringLiteral("key \"%1\" is missing").arg(key), QStringLiteral("%1 = ...").arg(key));
    }
    return entry;
}

std::optional<Endpoint> SectionReader::parseEndpoint(const QString &key, const QString &text)
{
    const std::optional<Endpoint> parsed = Endpoint::fromString(text);
    // Processes bind to or send to these endpoints, so neither the wildcard nor a multicast address is valid.
    if (!parsed.has_value() || parsed->address == 0 || parsed->address >= firstMulticastAddress) {
        report(
            key, QStringLiteral("\"%1\" is no address and port: %2").arg(key, text), QStringLiteral("a unicast IPv4 address and port such as 127.0.0.1:7000"));
        return std::nullopt;
    }
    return parsed;
}

void sortByLine(Findings &findings)
{
    std::ranges::stable_sort(findings, {}, [](const Finding &finding) { return finding.location.line; });
}

}
