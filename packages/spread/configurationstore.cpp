#include "spread/configurationstore.h"

#include "configservice/documentmanifest.h"
#include "core/assertion.h"
#include "core/identifiers.h"

#include <algorithm>
#include <utility>

namespace Rattanpick
{

namespace
{

/// Recorded digests of refused documents, so that each document is reported once.
constexpr std::size_t maximumRefusedDigests = 64;

}

bool acceptsHigherVersion(const ConfigurationVersion &candidate, const ConfigurationPointer &inForce)
{
    return !inForce || candidate > inForce->version();
}

bool acceptsAnyVersion(const ConfigurationVersion &candidate, const ConfigurationPointer &inForce)
{
    return !inForce || candidate != inForce->version();
}

ConfigurationStore::ConfigurationStore(DocumentParser parser, std::size_t deltaHistory, AcceptanceRule rule)
    : m_parser(std::move(parser))
    , m_deltaHistory(deltaHistory)
    , m_rule(rule)
{
    RP_ASSERT(m_parser && rule != nullptr);
}

OfferResult ConfigurationStore::offer(const QByteArray &text)
{
    const quint64 digest = hashBytes(text);
    if (m_configuration && digest == m_textDigest) {
        return OfferResult::NotHigher;
    }
    if (std::ranges::find(m_refusedDigests, digest) != m_refusedDigests.end()) {
        return OfferResult::RefusedBefore;
    }
    const ParsedDocument parsed = m_parser(text);
    if (!parsed.configuration) {
        return refuse(digest, parsed.findings);
    }
    if (!m_rule(parsed.configuration->version(), m_configuration)) {
        return OfferResult::NotHigher;
    }
    RP_ASSERT(m_rule != acceptsHigherVersion || parsed.configuration->version() > version());
    if (m_configuration) {
        m_history.push_back({version(), DocumentOutline(m_text)});
    }
    if (m_history.size() > m_deltaHistory) {
        m_history.pop_front();
    }
    m_configuration = parsed.configuration;
    m_text = text;
    m_textDigest = digest;
    m_answers.clear();
    return OfferResult::Accepted;
}

PeerAnswer ConfigurationStore::difference(const ConfigurationVersion &from) const
{
    if (from >= version()) {
        return {PeerAnswerKind::Nothing, from, version(), {}, {}};
    }
    const auto cached = m_answers.find(from);
    if (cached != m_answers.end()) {
        return cached->second;
    }
    const auto earlier = std::ranges::find(m_history, from, &HistoryEntry::version);
    // All versions outside the history share one cached answer, the whole document.
    const ConfigurationVersion key = earlier != m_history.end() ? from : ConfigurationVersion{};
    if (const auto cachedWhole = m_answers.find(key); cachedWhole != m_answers.end()) {
        return cachedWhole->second;
    }
    PeerAnswer answer{PeerAnswerKind::Whole, key, version(), {}, {}};
    if (earlier != m_history.end()) {
        answer.kind = PeerAnswerKind::Delta;
        answer.body = DocumentDelta::between(earlier->outline, m_text).toBytes();
    } else {
        answer.body = compressBytes(m_text);
    }
    return m_answers.emplace(key, answer).first->second;
}

std::optional<QByteArray> ConfigurationStore::textOf(const PeerAnswer &answer) const
{
    if (answer.kind == PeerAnswerKind::Whole) {
        return uncompressBytes(answer.body, maximumDocumentBytes);
    }
    if (answer.kind == PeerAnswerKind::Nothing || answer.from != version()) {
        return std::nullopt;
    }
    const std::optional<DocumentDelta> delta = DocumentDelta::fromBytes(answer.body);
    return delta ? delta->applyTo(m_text) : std::nullopt;
}

OfferResult ConfigurationStore::refuse(quint64 digest, const Findings &findings)
{
    m_findings = findings;
    m_refusedDigests.push_back(digest);
    if (m_refusedDigests.size() > maximumRefusedDigests) {
        m_refusedDigests.pop_front();
    }
    return OfferResult::Refused;
}

}
