#include "operators/documentreader.h"

#include "operators/documenttext.h"
#include "operators/inireader.h"
#include "operators/sectionreader.h"

#include <QHash>
#include <QSet>

#include <array>
#include <limits>
#include <optional>
#include <utility>

namespace Rattanpick
{

namespace
{

const QString documentKind = QStringLiteral("document");
const QString teamKind = QStringLiteral("team");
const QString dataCentreKind = QStringLiteral("data-centre");
const QString serviceKind = QStringLiteral("service");
const QString targetKind = QStringLiteral("target");

constexpr qint64 maximumWeight = 10000;
constexpr qint64 maximumSlots = 10000;
constexpr qint64 maximumConnections = 1000000;
constexpr qint64 maximumWarmSeconds = 3600;

// Validates the sections of one document and collects their entries.
class DocumentChecker
{
public:
    DocumentChecker(const QString &file, const QList<IniSection> &sections, Findings &findings)
        : m_file(file)
        , m_sections(sections)
        , m_findings(findings)
    {
    }

    void run()
    {
        collectNames();
        for (const IniSection &section : m_sections) {
            checkSection(section);
        }
        if (!m_names.contains(documentKind)) {
            m_findings.append({{m_file, 0, documentKind}, QStringLiteral("section is missing"), QStringLiteral("[document] with the key version")});
        }
    }

    quint64 number = 0;
    std::vector<DataCentre> dataCentres;
    std::vector<Service> services;
    std::vector<Target> targets;

private:
    struct KindReader
    {
        const QString &kind;
        bool hasName;
        void (DocumentChecker::*read)(const IniSection &, SectionReader &);
    };

    static const std::array<KindReader, 5> &kindReaders()
    {
        static const std::array<KindReader, 5> readers{{
            {documentKind, false, &DocumentChecker::readDocument},
            {teamKind, true, &DocumentChecker::readTeam},
            {dataCentreKind, true, &DocumentChecker::readDataCentre},
            {serviceKind, true, &DocumentChecker::readService},
            {targetKind, true, &DocumentChecker::readTarget},
        }};
        return readers;
    }

    // References may point forward, so all names are collected before the first section is read.
    void collectNames()
    {
        for (const IniSection &section : m_sections) {
            m_names[section.heading.kind].insert(section.heading.name);
        }
    }

    void checkSection(const IniSection &section)
    {
        for (const KindReader &reader : kindReaders()) {
            if (reader.kind != section.heading.kind) {
                continue;
            }
            if (reader.hasName == section.heading.name.isEmpty()) {
                reportHeading(section, QStringLiteral("section has the wrong form"));
                return;
            }
            SectionReader values(section, m_file, m_findings);
            (this->*reader.read)(section, values);
            values.reportUnknownKeys();
            return;
        }
        reportHeading(section, QStringLiteral("unknown section"));
    }

    void reportHeading(const IniSection &section, const QString &problem)
    {
        m_findings.append({{m_file, section.line, section.heading.title()},
                           problem,
                           QStringLiteral("[document], [team NAME], [data-centre NAME], [service NAME], [target NAME]")});
    }

    void readDocument(const IniSection & /*section*/, SectionReader &values)
    {
        number = static_cast<quint64>(values.number(QStringLiteral("version"), 1, std::numeric_limits<qint64>::max()));
    }

    void readTeam(const IniSection & /*section*/, SectionReader &values)
    {
        values.optionalText(QStringLiteral("contact"));
        const QString owner = values.optionalText(QStringLiteral("owner"));
        if (!owner.isEmpty()) {
            checkReference(values, QStringLiteral("owner"), teamKind, owner);
        }
    }

    void readDataCentre(const IniSection &section, SectionReader &values)
    {
        DataCentre dataCentre;
        dataCentre.name = section.heading.name;
        dataCentre.owner = reference(values, QStringLiteral("owner"), teamKind);
        dataCentre.region = values.requiredText(QStringLiteral("region"));
        dataCentre.isOut = values.choice(QStringLiteral("state"), {QStringLiteral("in"), QStringLiteral("out")}, 0) == 1;
        dataCentres.push_back(dataCentre);
    }

    void readService(const IniSection &section, SectionReader &values)
    {
        Service service;
        service.name = section.heading.name;
        service.id = serviceIdOf(service.name.toUtf8());
        service.owner = reference(values, QStringLiteral("owner"), teamKind);
        service.address = values.endpoint(QStringLiteral("address"));
        service.preference = static_cast<Preference>(values.choice(QStringLiteral("prefer"), {QStringLiteral("flows"), QStringLiteral("service")}, 0));
        service.coldSharePercent = static_cast<int>(values.number(QStringLiteral("cold-share"), 1, 100, service.coldSharePercent));
        service.warmSeconds = static_cast<int>(values.number(QStringLiteral("warm-seconds"), 1, maximumWarmSeconds, service.warmSeconds));
        service.retryBudgetPercent = static_cast<int>(values.number(QStringLiteral("retry-budget"), 0, 100, service.retryBudgetPercent));
        checkIdentifier(section, m_serviceIds, static_cast<quint32>(service.id));
        checkAddress(section, values, QStringLiteral("address"), service.address);
        services.push_back(service);
    }

    void readTarget(const IniSection &section, SectionReader &values)
    {
        Target target;
        target.name = section.heading.name;
        target.id = targetIdOf(target.name.toUtf8());
        target.owner = reference(values, QStringLiteral("owner"), teamKind);
        target.service = serviceIdOf(reference(values, QStringLiteral("service"), serviceKind).toUtf8());
        target.dataCentre = reference(values, QStringLiteral("data-centre"), dataCentreKind);
        target.agent = values.endpoint(QStringLiteral("agent"));
        target.weight = static_cast<quint32>(values.number(QStringLiteral("weight"), 1, maximumWeight, target.weight));
        target.slots = static_cast<quint32>(values.number(QStringLiteral("slots"), 1, maximumSlots, target.slots));
        target.connections = static_cast<quint32>(values.number(QStringLiteral("connections"), 1, maximumConnections, target.connections));
        target.isDraining = values.choice(QStringLiteral("state"), {QStringLiteral("in"), QStringLiteral("draining")}, 0) == 1;
        checkIdentifier(section, m_targetIds, static_cast<quint32>(target.id));
        checkAddress(section, values, QStringLiteral("agent"), target.agent);
        targets.push_back(target);
    }

    QString reference(SectionReader &values, const QString &key, const QString &kind)
    {
        QString name = values.requiredText(key);
        if (!name.isEmpty()) {
            checkReference(values, key, kind, name);
        }
        return name;
    }

    void checkReference(SectionReader &values, const QString &key, const QString &kind, const QString &name)
    {
        if (!m_names.value(kind).contains(name)) {
            values.report(key,
                          QStringLiteral("\"%1\" names a %2 that does not exist: %3").arg(key, kind, name),
                          QStringLiteral("the name of a [%1 NAME] section").arg(kind));
        }
    }

    // Nodes distinguish services and targets by identifier only, so two names must not have the same identifier.
    void checkIdentifier(const IniSection &section, QHash<quint32, QString> &titles, quint32 identifier)
    {
        const QString title = section.heading.title();
        if (titles.contains(identifier)) {
            m_findings.append({{m_file, section.line, title},
                               QStringLiteral("name has the same identifier as [%1]").arg(titles.value(identifier)),
                               QStringLiteral("another name")});
            return;
        }
        titles.insert(identifier, title);
    }

    void checkAddress(const IniSection &section, SectionReader &values, const QString &key, const Endpoint &address)
    {
        if (address.isNull()) {
            return;
        }
        const quint64 addressKey = (quint64{address.address} << 16) | address.port;
        if (m_addresses.contains(addressKey)) {
            values.report(key,
                          QStringLiteral("address %1 is used by [%2] already").arg(address.toString(), m_addresses.value(addressKey)),
                          QStringLiteral("each address and port once in the document"));
            return;
        }
        m_addresses.insert(addressKey, section.heading.title());
    }

    const QString &m_file;
    const QList<IniSection> &m_sections;
    Findings &m_findings;
    QHash<QString, QSet<QString>> m_names;
    QHash<quint32, QString> m_serviceIds;
    QHash<quint32, QString> m_targetIds;
    QHash<quint64, QString> m_addresses;
};

}

DocumentReader::DocumentReader(const QString &file)
    : m_file(file)
{
}

ConfigurationPointer DocumentReader::read(const QByteArray &text)
{
    IniReader reader(m_file);
    const QList<IniSection> sections = reader.read(text);
    m_findings = reader.findings();
    DocumentChecker check(m_file, sections, m_findings);
    check.run();
    sortByLine(m_findings);
    if (!m_findings.isEmpty()) {
        return nullptr;
    }
    const ConfigurationVersion version{check.number, DocumentText::digest(text)};
    return std::make_shared<const Configuration>(version, std::move(check.dataCentres), std::move(check.services), std::move(check.targets));
}

}
