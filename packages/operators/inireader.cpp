#include "operators/inireader.h"

#include <QHash>
#include <QStringDecoder>

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <optional>

namespace Rattanpick
{

namespace
{

constexpr QByteArrayView byteOrderMark = "\xef\xbb\xbf";

// Parses one text with libinih.
//
// libinih reports only the first line that it cannot parse, appends indented lines to the previous value and truncates
// lines that are longer than its buffer. Therefore each line is passed trimmed and complete, and when libinih requests
// the next line without having returned an entry, the previous line did not parse.
class IniParser
{
public:
    IniParser(const QString &file, const QByteArray &text)
        : m_file(file)
        , m_text(withNormalisedLineEnds(text))
    {
    }

    void run()
    {
        ini_parse_stream(&IniParser::nextLine, this, &IniParser::addEntry, this);
    }

    QList<IniSection> sections;
    Findings findings;

private:
    static char *nextLine(char *buffer, int size, void *stream)
    {
        return static_cast<IniParser *>(stream)->readLine(buffer, size);
    }

    static int addEntry(void *user, const char * /*section*/, const char *name, const char *value)
    {
        static_cast<IniParser *>(user)->onEntry(QString::fromUtf8(name), QString::fromUtf8(value));
        return 1;
    }

    char *readLine(char *buffer, int size)
    {
        finishLine();
        if (m_position >= m_text.size()) {
            return nullptr;
        }
        ++m_line;
        const QByteArray line = acceptedLine(takeLine(), size);
        std::memcpy(buffer, line.constData(), static_cast<std::size_t>(line.size()));
        std::memcpy(buffer + line.size(), "\n", 2);
        return buffer;
    }

    QByteArrayView takeLine()
    {
        const qsizetype end = m_text.indexOf('\n', m_position);
        QByteArrayView line = QByteArrayView(m_text).sliced(m_position, (end < 0 ? m_text.size() : end) - m_position);
        m_position = end < 0 ? m_text.size() : end + 1;
        if (m_line == 1 && line.startsWith(byteOrderMark)) {
            line = line.sliced(byteOrderMark.size());
        }
        return line.trimmed();
    }

    // The line to pass to libinih; empty if it is a comment or already has a finding.
    QByteArray acceptedLine(QByteArrayView line, int bufferSize)
    {
        if (line.isEmpty() || line.startsWith('#') || line.startsWith(';')) {
            return {};
        }
        if (!isPlainText(line)) {
            report(QStringLiteral("line holds control characters or is not UTF-8"), QStringLiteral("UTF-8 text"));
            return {};
        }
        // libinih needs space for the line ending, a carriage return and the terminating zero.
        const qsizetype longest = bufferSize - 3;
        if (line.size() > longest) {
            report(QStringLiteral("line is too long"), QStringLiteral("at most %1 bytes").arg(longest));
            return {};
        }
        if (IniHeading::isHeadingLine(line)) {
            openSection(line);
            return m_current.has_value() ? line.toByteArray() : QByteArray();
        }
        m_needsEntry = true;
        return line.toByteArray();
    }

    static bool isPlainText(QByteArrayView line)
    {
        QStringDecoder decoder(QStringDecoder::Utf8);
        const QString decoded = decoder.decode(line);
        const auto isControl = [](QChar character) {
            return character.unicode() < 0x20 && character != QLatin1Char('\t');
        };
        return !decoder.hasError() && std::ranges::none_of(decoded, isControl);
    }

    void openSection(QByteArrayView line)
    {
        m_current.reset();
        m_hasHeading = true;
        const std::optional<IniHeading> heading = IniHeading::fromLine(line);
        if (!heading.has_value()) {
            report(QStringLiteral("heading does not parse: %1").arg(QString::fromUtf8(line)),
                   QStringLiteral("[KIND] or [KIND NAME], names of at most 63 letters, digits, '.', '_' and '-'"));
            return;
        }
        m_title = heading->title();
        if (const auto earlier = m_lineOfTitle.constFind(m_title); earlier != m_lineOfTitle.cend()) {
            report(QStringLiteral("section occurs twice, first in line %1").arg(*earlier), QStringLiteral("each section once"));
            return;
        }
        m_lineOfTitle.insert(m_title, m_line);
        m_current = sections.size();
        sections.append({*heading, m_line, {}});
    }

    void onEntry(const QString &key, const QString &value)
    {
        m_needsEntry = false;
        if (!m_hasHeading) {
            report(QStringLiteral("key \"%1\" stands before the first section").arg(key), QStringLiteral("keys after a [KIND] heading"));
            return;
        }
        // Entries below a heading with a finding are skipped, since their findings would only repeat it.
        if (!m_current.has_value()) {
            return;
        }
        IniSection &section = sections[*m_current];
        if (const IniEntry *earlier = section.find(key); earlier != nullptr) {
            report(QStringLiteral("key \"%1\" occurs twice, first in line %2").arg(key, QString::number(earlier->line)),
                   QStringLiteral("each key once in a section"));
            return;
        }
        section.entries.append({key, value, m_line});
    }

    void finishLine()
    {
        if (m_needsEntry) {
            report(QStringLiteral("line does not parse"), QStringLiteral("KEY = VALUE, [KIND NAME], or a comment after # or ;"));
        }
        m_needsEntry = false;
    }

    void report(const QString &problem, const QString &allowed)
    {
        findings.append({{m_file, m_line, m_title}, problem, allowed});
    }

    QString m_file;
    QByteArray m_text;
    qsizetype m_position = 0;
    int m_line = 0;
    bool m_needsEntry = false;
    bool m_hasHeading = false;
    QString m_title;
    QHash<QString, int> m_lineOfTitle;
    std::optional<qsizetype> m_current;
};

}

IniReader::IniReader(const QString &file)
    : m_file(file)
{
}

QList<IniSection> IniReader::read(const QByteArray &text)
{
    IniParser parser(m_file, text);
    parser.run();
    m_findings = parser.findings;
    return parser.sections;
}

QByteArray withNormalisedLineEnds(const QByteArray &text)
{
    QByteArray normalised = text;
    normalised.replace("\r\n", "\n");
    normalised.replace('\r', '\n');
    return normalised;
}

}
