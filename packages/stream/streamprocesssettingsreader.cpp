#include "stream/streamprocesssettingsreader.h"

#include "operators/inireader.h"
#include "operators/sectionreader.h"

#include <array>

namespace Rattanpick
{

namespace
{

constexpr qint64 maximumGraceSeconds = 3600;
constexpr qint64 maximumFlowAgeSeconds = qint64{7} * 24 * 3600;
constexpr double maximumColdFactor = 100;
constexpr double maximumColdSlack = 1e6;
/// With more, less urgent priorities would get the larger part.
constexpr qint64 maximumMinimumSharePercent = 50;

void readProcess(SectionReader &values, StreamProcessSettings &settings)
{
    const QStringList levels{QStringLiteral("debug"), QStringLiteral("info"), QStringLiteral("warning"), QStringLiteral("error")};
    constexpr qsizetype infoIndex = 1;
    settings.name = values.requiredName(QStringLiteral("name"));
    settings.role = static_cast<DaemonRole>(values.choice(QStringLiteral("role"), {QStringLiteral("balancer"), QStringLiteral("agent")}));
    settings.dataCentre = values.requiredName(QStringLiteral("data-centre"));
    settings.logLevel = static_cast<EventLevel>(values.choice(QStringLiteral("log-level"), levels, infoIndex));
    settings.isInitialStart = values.choice(QStringLiteral("initial-start"), {QStringLiteral("false"), QStringLiteral("true")}, 0) == 1;
    settings.stopGrace = std::chrono::seconds(values.number(QStringLiteral("stop-grace-seconds"), 1, maximumGraceSeconds));
}

void readBindAddress(SectionReader &values, StreamProcessSettings &settings)
{
    const QString key = QStringLiteral("bind-address");
    const QString text = values.optionalText(key);
    if (text.isEmpty()) {
        return;
    }
    if (const std::optional<Endpoint> bound = Endpoint::fromString(text + QStringLiteral(":1"))) {
        settings.bindAddress = bound->address;
        return;
    }
    values.report(key, QStringLiteral("\"%1\" is not an address").arg(text), QStringLiteral("an IPv4 address"));
}

void readListen(SectionReader &values, StreamProcessSettings &settings)
{
    readBindAddress(values, settings);
    settings.messages = values.endpoint(QStringLiteral("messages"));
    settings.ready = values.endpoint(QStringLiteral("ready"));
    settings.metrics = values.endpoint(QStringLiteral("metrics"));
    settings.spread = values.endpoint(QStringLiteral("spread"));
    settings.callers = values.endpoint(QStringLiteral("callers"));
    if (settings.role == DaemonRole::Agent) {
        settings.outbound = values.endpoint(QStringLiteral("outbound"));
    } else {
        settings.control = values.endpoint(QStringLiteral("control"));
    }
}

void readDirectory(SectionReader &values, StreamProcessSettings &settings)
{
    settings.directory = values.endpoint(QStringLiteral("store"));
    settings.seeds = values.endpoints(QStringLiteral("seeds"), false);
}

void readFlows(SectionReader &values, StreamProcessSettings &settings)
{
    settings.maximumFlowAge = std::chrono::seconds(values.number(QStringLiteral("maximum-age-seconds"), 1, maximumFlowAgeSeconds));
}

void readTarget(SectionReader &values, StreamProcessSettings &settings)
{
    settings.target = values.endpoint(QStringLiteral("address"));
    settings.service = values.requiredName(QStringLiteral("service"));
    settings.coldFactor = values.decimal(QStringLiteral("cold-factor"), 0, maximumColdFactor, settings.coldFactor);
    settings.coldSlack = values.decimal(QStringLiteral("cold-slack"), 0, maximumColdSlack, settings.coldSlack);
}

void readBalancing(SectionReader &values, StreamProcessSettings &settings)
{
    const auto readSwitch = [&values](const QString &key) {
        return values.choice(key, {QStringLiteral("false"), QStringLiteral("true")}, 0) == 1;
    };
    BalancingSettings &balancing = settings.balancing;
    balancing.usesTwoChoices = readSwitch(QStringLiteral("two-choices"));
    balancing.usesProbation = readSwitch(QStringLiteral("probation"));
    balancing.ordersByObjective = readSwitch(QStringLiteral("objective-order"));
    const QString shareKey = QStringLiteral("minimum-share-percent");
    balancing.minimumSharePercent = static_cast<int>(values.number(shareKey, 0, maximumMinimumSharePercent, 0));
    if (balancing.minimumSharePercent > 0 && !balancing.ordersByObjective) {
        values.report(
            shareKey, QStringLiteral("\"%1\" has no effect without \"objective-order = true\"").arg(shareKey), QStringLiteral("0, or objective-order = true"));
    }
}

struct SectionRule
{
    const char *title;
    void (*read)(SectionReader &values, StreamProcessSettings &settings);
    bool isForAgentsOnly;
    bool isOptional;
};

// [process] comes first, since the role determines the keys of the other sections.
constexpr std::array sectionRules{
    SectionRule{"process", readProcess, false, false},
    SectionRule{"listen", readListen, false, false},
    SectionRule{"directory", readDirectory, false, false},
    SectionRule{"flows", readFlows, false, false},
    SectionRule{"target", readTarget, true, false},
    SectionRule{"balancing", readBalancing, false, true},
};

}

StreamProcessSettingsReader::StreamProcessSettingsReader(const QString &file)
    : m_file(file)
{
}

std::optional<StreamProcessSettings> StreamProcessSettingsReader::read(const QByteArray &text)
{
    IniReader reader(m_file);
    const QList<IniSection> sections = reader.read(text);
    m_findings = reader.findings();
    StreamProcessSettings settings;
    QStringList titles;
    for (const SectionRule &rule : sectionRules) {
        if (rule.isForAgentsOnly && settings.role != DaemonRole::Agent) {
            continue;
        }
        const QString title = QLatin1String(rule.title);
        titles.append(QLatin1Char('[') + title + QLatin1Char(']'));
        const auto section = std::ranges::find_if(sections, [&title](const IniSection &candidate) { return candidate.heading.title() == title; });
        if (section == sections.end()) {
            if (!rule.isOptional) {
                m_findings.append({{m_file, 0, title}, QStringLiteral("section is missing"), titles.last()});
            }
            continue;
        }
        SectionReader values(*section, m_file, m_findings);
        rule.read(values, settings);
        values.reportUnknownKeys();
    }
    for (const IniSection &section : sections) {
        const QString title = QLatin1Char('[') + section.heading.title() + QLatin1Char(']');
        if (!titles.contains(title)) {
            m_findings.append({{m_file, section.line, section.heading.title()}, QStringLiteral("unknown section"), titles.join(QStringLiteral(", "))});
        }
    }
    sortByLine(m_findings);
    return m_findings.isEmpty() ? std::optional(settings) : std::nullopt;
}

}
