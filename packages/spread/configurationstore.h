#pragma once

#include "core/configurationversion.h"
#include "core/finding.h"
#include "operators/configuration.h"
#include "spread/documentdelta.h"
#include "spread/peeranswer.h"

#include <QByteArray>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace Rattanpick
{

/// The result of reading a document: a configuration, or null and the findings.
struct ParsedDocument
{
    ConfigurationPointer configuration;
    Findings findings;
};

/// Reads a document; its result must depend on the text alone.
using DocumentParser = std::function<ParsedDocument(const QByteArray &)>;

/// The parser of the daemons: DocumentReader.
DocumentParser documentReaderParser();

/// Whether a valid document replaces the one in force (null at the start).
using AcceptanceRule = bool (*)(const ConfigurationVersion &candidate, const ConfigurationPointer &inForce);

/// The rule of the system: only a higher (number, digest).
bool acceptsHigherVersion(const ConfigurationVersion &candidate, const ConfigurationPointer &inForce);

/// Baseline for tests and measurements: whatever comes last, so that a stale source reverts the node.
bool acceptsAnyVersion(const ConfigurationVersion &candidate, const ConfigurationPointer &inForce);

/// What became of an offered document.
enum class OfferResult : quint8 {
    Accepted,
    /// Valid, but not higher than the version in force.
    NotHigher,
    /// Invalid, and not seen before; findings() tells why.
    Refused,
    /// Invalid, and reported before.
    RefusedBefore,
};

/// Holds the document in force and what is needed to tell peers the difference from the last versions.
class ConfigurationStore
{
public:
    /// Builds an empty store that gives differences from the last @p deltaHistory versions.
    ConfigurationStore(DocumentParser parser, std::size_t deltaHistory, AcceptanceRule rule = acceptsHigherVersion);

    // Documents

    /// Reads the document and puts it in force if the rule accepts it.
    OfferResult offer(const QByteArray &text);

    /// The findings of the latest document with the result Refused.
    const Findings &findings() const
    {
        return m_findings;
    }

    /// The configuration in force, or null.
    const ConfigurationPointer &configuration() const
    {
        return m_configuration;
    }

    /// The version in force; zero if none.
    ConfigurationVersion version() const
    {
        return m_configuration ? m_configuration->version() : ConfigurationVersion{};
    }

    /// The text of the document in force; empty if none.
    const QByteArray &text() const
    {
        return m_text;
    }

    // Differences

    /// The answer to a peer with the version: a delta if the version is in the history, otherwise the whole document.
    PeerAnswer difference(const ConfigurationVersion &from) const;

    /// The document of a peer's answer; nothing if it is damaged or applies to another version than the one in force.
    std::optional<QByteArray> textOf(const PeerAnswer &answer) const;

private:
    struct Earlier
    {
        ConfigurationVersion version;
        DocumentOutline outline;
    };

    OfferResult refuse(quint64 digest, const Findings &findings);

    DocumentParser m_parser;
    std::size_t m_deltaHistory;
    AcceptanceRule m_rule;
    ConfigurationPointer m_configuration;
    QByteArray m_text;
    quint64 m_textDigest = 0;
    std::deque<Earlier> m_history;
    std::deque<quint64> m_refused;
    Findings m_findings;
    // At a change, many peers ask for the difference from the same version.
    mutable std::map<ConfigurationVersion, PeerAnswer> m_answers;
};

}
