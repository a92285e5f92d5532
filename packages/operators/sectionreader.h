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

/// Reads the values of one section and reports missing, unknown, malformed and out-of-range values as findings.
///
/// An invalid value is replaced by its default, so that all errors are found in one pass.
class SectionReader
{
public:
    /// Creates a reader for @p section of @p file. All three arguments must outlive the reader.
    SectionReader(const IniSection &section, const QString &file, Findings &findings);

    // Values

    /// The text of a required key. Returns an empty text and adds a finding if it is missing or empty.
    QString requiredText(const QString &key);

    /// The value of a required key that must be a valid name (see IniHeading::isName()). Returns an empty text and adds
    /// a finding otherwise.
    QString requiredName(const QString &key);

    /// The text of an optional key; empty if it is missing.
    QString optionalText(const QString &key);

    /// An integer from @p minimum to @p maximum, or @p fallback if the key is missing. Without a fallback, a missing
    /// key is a finding.
    qint64 number(const QString &key, qint64 minimum, qint64 maximum, std::optional<qint64> fallback = std::nullopt);

    /// A decimal number from @p minimum to @p maximum, or @p fallback if the key is missing.
    double decimal(const QString &key, double minimum, double maximum, double fallback);

    /// The index of the value in @p choices, or @p fallback if the key is missing. Without a fallback, a missing key is
    /// a finding.
    qsizetype choice(const QString &key, const QStringList &choices, std::optional<qsizetype> fallback = std::nullopt);

    /// The unicast IPv4 endpoint of a required key. Returns a null endpoint and adds a finding if it is missing or
    /// malformed.
    Endpoint endpoint(const QString &key);

    /// The unicast IPv4 endpoints of a key, separated by commas or spaces. A missing key gives an empty list, and a
    /// finding if @p isRequired.
    QList<Endpoint> endpoints(const QString &key, bool isRequired);

    // Findings

    /// Adds a finding at the line of the key, or at the heading if the key is missing.
    void report(const QString &key, const QString &problem, const QString &allowed);

    /// Adds a finding for each key that has not been read. Call after reading all values.
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

/// Sorts findings by line. Findings of the same line keep their order.
void sortByLine(Findings &findings);

}
