#include "spread/documentdelta.h"

#include "configservice/documentmanifest.h"
#include "core/identifiers.h"

#include <QDataStream>
#include <QIODevice>
#include <QtEndian>

#include <unordered_map>

namespace Rattanpick
{

namespace
{

std::vector<QByteArrayView> sectionsOf(const QByteArray &text)
{
    std::vector<QByteArrayView> sections;
    const QByteArrayView view(text);
    qsizetype start = 0;
    while (start < text.size()) {
        const qsizetype lineBreak = text.indexOf("\n[", start);
        const qsizetype end = lineBreak < 0 ? text.size() : lineBreak + 1;
        sections.push_back(view.sliced(start, end - start));
        start = end;
    }
    return sections;
}

}

DocumentOutline::DocumentOutline(const QByteArray &text)
{
    for (const QByteArrayView section : sectionsOf(text)) {
        m_sections.push_back(hashBytes(section));
    }
}

DocumentDelta DocumentDelta::between(const DocumentOutline &base, const QByteArray &text)
{
    std::unordered_map<quint64, quint32> positions;
    for (std::size_t index = 0; index < base.sections().size(); ++index) {
        positions.emplace(base.sections()[index], static_cast<quint32>(index));
    }

    DocumentDelta delta;
    delta.m_resultDigest = hashBytes(text);
    delta.m_steps.emplace_back();
    for (const QByteArrayView section : sectionsOf(text)) {
        const auto found = positions.find(hashBytes(section));
        Step &last = delta.m_steps.back();
        if (found != positions.end() && last.sectionCount > 0 && found->second == last.firstSection + last.sectionCount) {
            ++last.sectionCount;
            continue;
        }
        if (last.sectionCount > 0) {
            delta.m_steps.emplace_back();
        }
        Step &step = delta.m_steps.back();
        if (found == positions.end()) {
            step.text.append(section);
        } else {
            step.firstSection = found->second;
            step.sectionCount = 1;
        }
    }
    return delta;
}

std::optional<DocumentDelta> DocumentDelta::fromBytes(const QByteArray &bytes)
{
    const std::optional<QByteArray> plain = uncompressBytes(bytes, maximumDocumentBytes);
    if (!plain) {
        return std::nullopt;
    }
    QDataStream stream(*plain);
    stream.setVersion(QDataStream::Qt_6_4);
    DocumentDelta delta;
    quint32 count = 0;
    stream >> delta.m_resultDigest >> count;
    for (quint32 index = 0; index < count && stream.status() == QDataStream::Ok; ++index) {
        Step step;
        stream >> step.text >> step.firstSection >> step.sectionCount;
        delta.m_steps.push_back(step);
    }
    if (stream.status() != QDataStream::Ok || !stream.atEnd()) {
        return std::nullopt;
    }
    return delta;
}

QByteArray DocumentDelta::toBytes() const
{
    QByteArray bytes;
    QDataStream stream(&bytes, QIODevice::WriteOnly);
    stream.setVersion(QDataStream::Qt_6_4);
    stream << m_resultDigest << static_cast<quint32>(m_steps.size());
    for (const Step &step : m_steps) {
        stream << step.text << step.firstSection << step.sectionCount;
    }
    return compressBytes(bytes);
}

std::optional<QByteArray> DocumentDelta::applyTo(const QByteArray &base) const
{
    const std::vector<QByteArrayView> sections = sectionsOf(base);
    QByteArray text;
    for (const Step &step : m_steps) {
        text += step.text;
        if (quint64{step.firstSection} + step.sectionCount > sections.size()) {
            return std::nullopt;
        }
        for (quint32 index = 0; index < step.sectionCount; ++index) {
            text.append(sections[step.firstSection + index]);
        }
        // Without this check, steps that copy a large base repeatedly could allocate unbounded memory.
        if (text.size() > maximumDocumentBytes) {
            return std::nullopt;
        }
    }
    return hashBytes(text) == m_resultDigest ? std::optional(text) : std::nullopt;
}

QByteArray compressBytes(const QByteArray &bytes)
{
    return qCompress(bytes);
}

std::optional<QByteArray> uncompressBytes(const QByteArray &bytes, qsizetype maximumBytes)
{
    // qUncompress() allocates the size given in the first four bytes before it examines the data.
    constexpr qsizetype sizePrefix = 4;
    if (bytes.size() <= sizePrefix || qFromBigEndian<quint32>(bytes.constData()) > static_cast<quint64>(maximumBytes)) {
        return std::nullopt;
    }
    const QByteArray plain = qUncompress(bytes);
    return plain.isEmpty() || plain.size() > maximumBytes ? std::nullopt : std::optional(plain);
}

}
