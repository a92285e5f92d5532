#include "operators/daemonsettingsreader.h"

#include "operators/inireader.h"
#include "operators/sectionreader.h"

#include <QRegularExpression>

#include <algorithm>
#include <utility>

namespace Rattanpick
{

namespace
{

constexpr qint64 minimumEventsKept = 100;
// An event takes about 300 bytes, so a million events would exceed the 256 MB of memory that the control plane of a
// node may use.
constexpr qint64 maximumEventsKept = 200000;
constexpr qint64 maximumStopLimitSeconds = 3600;
using FleetKey = decltype(DaemonSettings::fleetKey);

const QString daemonTitle = QStringLiteral("daemon");

FleetKey readFleetKey(SectionReader &values)
{
    static const QRegularExpression digits(QStringLiteral("\\A[0-9A-Fa-f]{32}\\z"));
    const QString key = QStringLiteral("fleet-key");
    const QString text = values.requiredText(key);
    FleetKey fleetKey{};
    if (digits.match(text).hasMatch()) {
        std::ranges::copy(QByteArray::fromHex(text.toLatin1()), fleetKey.begin());
    } else if (!text.isEmpty()) {
        // The value is secret and must not appear in the finding.
        values.report(key, QStringLiteral("\"fleet-key\" is no key"), QStringLiteral("%1 hexadecimal digits").arg(2 * fleetKey.size()));
    }
    return fleetKey;
}

EventLevel readLogLevel(SectionReader &values)
{
    constexpr qsizetype infoIndex = 1;
    const QStringList names{QStringLiteral("debug"), QStringLiteral("info"), QStringLiteral("warning"), QStringLiteral("error")};
    const QString name = names.at(values.choice(QStringLiteral("log-level"), names, infoIndex));
    return eventLevelOf(name).value_or(EventLevel::Info);
}

void readAgent(SectionReader &values, DaemonSettings &settings)
{
    settings.target = values.requiredName(QStringLiteral("target"));
    settings.targetLink = values.endpoint(QStringLiteral("target-link"));
    settings.link = values.endpoint(QStringLiteral("link"));
}

void readBalancer(SectionReader &values, DaemonSettings &settings)
{
    settings.fabric = values.endpoint(QStringLiteral("fabric"));
}

// Without a valid role it is undefined which of these keys are allowed, so none of them is reported as unknown.
void acceptKeysOfAnyRole(SectionReader &values)
{
    for (const char *key : {"target", "target-link", "link", "fabric"}) {
        values.optionalText(QString::fromLatin1(key));
    }
}

// These are UDP sockets, which cannot share an endpoint. The admin interface uses TCP and is not checked.
void checkDistinct(SectionReader &values, const DaemonSettings &settings)
{
    const std::pair<const char *, Endpoint> endpoints[] = {
        {"tunnel", settings.tunnel},
        {"target-link", settings.targetLink},
        {"link", settings.link},
        {"fabric", settings.fabric},
    };
    for (const auto *later = std::begin(endpoints); later != std::end(endpoints); ++later) {
        const auto *earlier = std::find_if(std::begin(endpoints), later, [later](const auto &other) { return other.second == later->second; });
        if (earlier == later || later->second.isNull()) {
            continue;
        }
        values.report(QString::fromLatin1(later->first),
                      QStringLiteral("\"%1\" and \"%2\" are the same address").arg(QLatin1String(later->first), QLatin1String(earlier->first)),
                      QStringLiteral("another address or port"));
    }
}

DaemonSettings readDaemon(SectionReader &values)
{
    DaemonSettings settings;
    settings.name = values.requiredName(QStringLiteral("name"));
    const QStringList roles{QStringLiteral("balancer"), QStringLiteral("agent")};
    const QString roleName = values.requiredText(QStringLiteral("role"));
    settings.dataCentre = values.requiredName(QStringLiteral("data-centre"));
    settings.tunnel = values.endpoint(QStringLiteral("tunnel"));
    settings.admin = values.endpoint(QStringLiteral("admin"));
    settings.fleetKey = readFleetKey(values);
    settings.platform = values.endpoints(QStringLiteral("platform"), true);
    settings.seedPeers = values.endpoints(QStringLiteral("seed-peers"), false);
    settings.logLevel = readLogLevel(values);
    settings.eventsKept =
        static_cast<std::size_t>(values.number(QStringLiteral("events-kept"), minimumEventsKept, maximumEventsKept, static_cast<qint64>(settings.eventsKept)));
    settings.stopLimitSeconds = static_cast<int>(values.number(QStringLiteral("stop-limit-seconds"), 1, maximumStopLimitSeconds, settings.stopLimitSeconds));
    if (!roles.contains(roleName)) {
        if (!roleName.isEmpty()) {
            values.report(QStringLiteral("role"), QStringLiteral("\"role\" has an unknown value: %1").arg(roleName), roles.join(QStringLiteral(", ")));
        }
        acceptKeysOfAnyRole(values);
        return settings;
    }
    settings.role = static_cast<DaemonRole>(roles.indexOf(roleName));
    settings.role == DaemonRole::Agent ? readAgent(values, settings) : readBalancer(values, settings);
    checkDistinct(values, settings);
    return settings;
}

}

DaemonSettingsReader::DaemonSettingsReader(const QString &file)
    : m_file(file)
{
}

std::optional<DaemonSettings> DaemonSettingsReader::read(const QByteArray &text)
{
    IniReader reader(m_file);
    const QList<IniSection> sections = reader.read(text);
    m_findings = reader.findings();
    std::optional<DaemonSettings> settings;
    for (const IniSection &section : sections) {
        if (section.heading.title() != daemonTitle) {
            m_findings.append({{m_file, section.line, section.heading.title()}, QStringLiteral("unknown section"), QStringLiteral("[daemon]")});
            continue;
        }
        SectionReader values(section, m_file, m_findings);
        settings = readDaemon(values);
        values.reportUnknownKeys();
    }
    if (!settings.has_value()) {
        m_findings.append({{m_file, 0, daemonTitle}, QStringLiteral("section is missing"), QStringLiteral("[daemon]")});
    }
    sortByLine(m_findings);
    return m_findings.isEmpty() ? settings : std::nullopt;
}

}
