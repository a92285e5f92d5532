#pragma once

#include "core/endpoint.h"
#include "core/finding.h"
#include "operators/inisection.h"

#include <QList>
#include <QString>
#include <QStringList>

#include <optional>

namespace Rattanpick
{

/// Reads the values of one section and adds a finding for each that is missing, unknown, or of the wrong type or range.
///
/// A value with a finding reads as its default, so that one run finds everything.
class SectionReader
{
public:
    /// Reads @p section of @p file; both and @p findings must live as long as the reader.
    SectionReader(const IniSection &section, const QString &file, Findings &findings);

    // Values

    /// The text of a key that must be there; empty with a finding if it is missing or empty.
    QString requiredText(const QString &key);

    /// A name, as headings have it, of a key that must be there; empty with a finding otherwise.
    QString requiredName(const QString &key);

    /// The text of a key, empty if it is missing.
    QString optionalText(const QString &key);

    /// A whole number from @p minimum to @p maximum; @p fallback if the key is missing, which is a finding without one.
    qint64 number(const QString &key, qint64 minimum, qint64 maximum, std::optional<qint64> fallback = std::nullopt);

    /// A decimal number from @p minimum to @p maximum; @p fallback if the key is missing.
    double decimal(const QString &key, double minimum, double maximum, double fallback);

    /// The index of the value in @p choices; @p fallback if the key is missing, which is a finding without one.
    qsizetype choice(const QString &key, const QStringList &choices, std::optional<qsizetype> fallback = std::nullopt);

    /// A unicast IPv4 endpoint of a key that must be there; null with a finding otherwise.
    Endpoint endpoint(const QString &key);

    /// Unicast IPv4 endpoints, separated by commas or spaces; none if the key is missing, which is a finding if @p isRequired.
    QList<Endpoint> endpoints(const QString &key, bool isRequired);

    // Findings

    /// Adds a finding at the line of the key, or at the heading if the key is missing.
    void report(const QString &key, const QString &problem, const QString &allowed);

    /// Adds a finding for each key that nothing has asked for; call after reading all values.
    void reportUnknownKeys();

    /// The line of the key, or of the heading if the key is missing.
    int lineOf(const QString &key) const;

private:
    const IniEntry *find(const QString &key);
    const IniEntry *findRequired(const QString &key);
    std::optional<Endpoint> parseEndpoint(const QString &key, const QString &text);

    const IniSection &m_section;
    const QString &m_file;
    Findings &m_findings;
    QStringList m_knownKeys;
};

/// Orders findings by line, keeping the order of those of one line.
void sortByLine(Findings &findings);

}
