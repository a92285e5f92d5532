#include "operators/documenttext.h"

#include "core/identifiers.h"
#include "operators/inireader.h"

#include <optional>
#include <utility>

namespace Rattanpick
{

namespace
{

// The end of the line that starts at the position, including its line ending. As in IniReader, "\r", "\n" and "\r\n"
// are line endings.
qsizetype lineEnd(const QByteArray &text, qsizetype position)
{
    for (; position < text.size(); ++position) {
        if (text.at(position) == '\n') {
            return position + 1;
        }
        if (text.at(position) == '\r') {
            const bool isPair = position + 1 < text.size() && text.at(position + 1) == '\n';
            return position + (isPair ? 2 : 1);
        }
    }
    return position;
}

QByteArrayView withoutByteOrderMark(QByteArrayView line)
{
    constexpr QByteArrayView mark = "\xef\xbb\xbf";
    return line.startsWith(mark) ? line.sliced(mark.size()) : line;
}

}

DocumentText::DocumentText(QList<DocumentSection> sections)
    : m_sections(std::move(sections))
{
}

DocumentText DocumentText::fromText(const QByteArray &text)
{
    QList<DocumentSection> sections;
    QString title;
    qsizetype sectionStart = 0;
    // Start of the comment lines directly before the current line; they belong to the heading that follows.
    qsizetype commentStart = 0;
    const auto close = [&](qsizetype end) {
        if (end > sectionStart) {
            sections.append({title, text.sliced(sectionStart, end - sectionStart)});
        }
        sectionStart = end;
    };
    for (qsizetype position = 0; position < text.size();) {
        const qsizetype end = lineEnd(text, position);
        const QByteArrayView line = withoutByteOrderMark(QByteArrayView(text).sliced(position, end - position)).trimmed();
        if (const std::optional<IniHeading> heading = IniHeading::fromLine(line); heading.has_value()) {
            close(commentStart);
            title = heading->title();
        }
        if (!line.startsWith('#') && !line.startsWith(';')) {
            commentStart = end;
        }
        position = end;
    }
    close(text.size());
    return DocumentText(sections);
}

quint64 DocumentText::digest(const QByteArray &text)
{
    return hashBytes(withNormalisedLineEnds(text));
}

const DocumentSection *DocumentText::find(const QString &title) const
{
    for (const DocumentSection &section : m_sections) {
        if (section.title == title) {
            return &section;
        }
    }
    return nullptr;
}

QByteArray DocumentText::toText() const
{
    QByteArray text;
    for (const DocumentSection &section : m_sections) {
        text += section.text;
    }
    return text;
}

}
