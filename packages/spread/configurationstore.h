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

/// The result of parsing a document: a configuration, or null and the findings.
struct ParsedDocument
{
    ConfigurationPointer configuration;
    Findings findings;
};

/// Parses a document; the result must depend only on the text.
using DocumentParser = std::function<ParsedDocument(const QByteArray &)>;

/// The parser used by the daemons: DocumentReader.
DocumentParser documentReaderParser();

/// Decides whether a valid document replaces the one in force (null at the start).
using AcceptanceRule = bool (*)(const ConfigurationVersion &candidate, const ConfigurationPointer &inForce);

/// The production rule: only a higher (number, digest) pair is accepted.
bool acceptsHigherVersion(const ConfigurationVersion &candidate, const ConfigurationPointer &inForce);

/// Baseline for tests and measurements: accepts the latest arrival, so that a stale source reverts the node.
bool acceptsAnyVersion(const ConfigurationVersion &candidate, const ConfigurationPointer &inForce);

/// The result of ConfigurationStore::offer().
enum class OfferResult : quint8 {
    Accepted,
    /// Valid, but not higher than the version in force.
    NotHigher,
    /// Invalid, and not reported before; findings() gives the reasons.
    Refused,
    /// Invalid, and already reported.
    RefusedBefore,
};

/// Holds the document in force and the data needed to send peers a delta from recent versions.
class ConfigurationStore
{
public:
    /// Builds an empty store that can compute deltas from the last @p deltaHistory versions.
    ConfigurationStore(DocumentParser parser, std::size_t deltaHistory, AcceptanceRule rule = acceptsHigherVersion);

    // Documents

    /// Parses the document and puts it in force if the rule accepts it.
    OfferResult offer(const QByteArray &text);

    /// The findings of the latest document that was Refused.
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

    /// The document in a peer's answer; nullopt if it is damaged or its delta applies to another version.
    std::optional<QByteArray> textOf(const PeerAnswer &answer) const;

private:
    struct HistoryEntry
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
    std::deque<HistoryEntry> m_history;
    std::deque<quint64> m_refusedDigests;
    Findings m_findings;
    // Cached answers: after a change, many peers request the difference from the same version.
    mutable std::map<ConfigurationVersion, PeerAnswer> m_answers;
};

}
