#include "stream/directoryimage.h"

#include "core/assertion.h"
#include "fabric/wireformat.h"

#include <algorithm>

namespace Rattanpick
{

namespace
{

/// Removals kept for peers with an older position; covers some minutes at the highest rate of changes.
constexpr std::size_t removalLimit = 4096;
/// Limits the memory that a malformed batch can claim; the design size is about 20,000 targets and 2,000 routes.
constexpr quint32 maximumCount = 1'000'000;

/// Earlier releases send it for an entry that does not tell the start of its target.
constexpr qint64 unknownStart = -1;

enum class ChangeTag : quint8 {
    Listed = 1,
    Unlisted,
    Switched,
    Routes,
    Completed,
};

bool isRemoval(const DirectoryChange &change)
{
    const auto *switched = std::get_if<DataCentreSwitched>(&change);
    return std::holds_alternative<TargetUnlisted>(change) || (switched != nullptr && !switched->isOut);
}

bool hasEras(DirectoryFormat format)
{
    return format >= DirectoryFormat::WithEras;
}

void writePosition(QDataStream &stream, const DirectoryPosition &position, DirectoryFormat format)
{
    if (hasEras(format)) {
        stream << position.era;
    }
    stream << position.revision;
}

DirectoryPosition readPosition(QDataStream &stream, DirectoryFormat format)
{
    DirectoryPosition position;
    if (hasEras(format)) {
        stream >> position.era;
    }
    stream >> position.revision;
    return position;
}

qint64 remainingMilliseconds(TimePoint now, TimePoint deadline)
{
    return std::max<qint64>(0, std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count());
}

void writeRoutes(QDataStream &stream, const RouteTable &table, DirectoryFormat format)
{
    stream << table.version() << static_cast<qint64>(std::chrono::duration_cast<std::chrono::milliseconds>(table.idleTimeout()).count());
    const std::vector<Route> routes = table.routes();
    stream << static_cast<quint32>(routes.size());
    for (const Route &route : routes) {
        stream << route.address << static_cast<qint32>(route.priority)
               << static_cast<qint64>(std::chrono::duration_cast<std::chrono::milliseconds>(route.timeout).count());
        if (format >= DirectoryFormat::WithObjectives) {
            stream << static_cast<qint64>(std::chrono::duration_cast<std::chrono::milliseconds>(route.objective).count());
        }
        stream << static_cast<quint32>(route.shares.size());
        for (const ServiceShare &share : route.shares) {
            stream << share.service << share.weight;
        }
    }
    const std::vector<StreamService> services = table.services();
    stream << static_cast<quint32>(services.size());
    for (const StreamService &service : services) {
        stream << service.name << service.coldRequestsPerSecond
               << static_cast<qint64>(std::chrono::duration_cast<std::chrono::milliseconds>(service.coldTime).count());
    }
}

quint32 readCount(QDataStream &stream)
{
    quint32 count = 0;
    stream >> count;
    requireWire(stream, count <= maximumCount);
    return stream.status() == QDataStream::Ok ? count : 0;
}

RouteTablePointer readRoutes(QDataStream &stream, DirectoryFormat format)
{
    quint64 version = 0;
    qint64 idleMilliseconds = 0;
    stream >> version >> idleMilliseconds;
    std::vector<Route> routes;
    for (quint32 left = readCount(stream); left > 0 && stream.status() == QDataStream::Ok; --left) {
        Route route;
        qint32 priority = 0;
        qint64 timeoutMilliseconds = 0;
        stream >> route.address >> priority >> timeoutMilliseconds;
        route.priority = priority;
        route.timeout = std::chrono::milliseconds(timeoutMilliseconds);
        if (format >= DirectoryFormat::WithObjectives) {
            qint64 objectiveMilliseconds = 0;
            stream >> objectiveMilliseconds;
            route.objective = std::chrono::milliseconds(objectiveMilliseconds);
        }
        for (quint32 shares = readCount(stream); shares > 0 && stream.status() == QDataStream::Ok; --shares) {
            ServiceShare share;
            stream >> share.service >> share.weight;
            route.shares.push_back(share);
        }
        requireWire(stream, !route.shares.empty());
        routes.push_back(std::move(route));
    }
    std::vector<StreamService> services;
    for (quint32 left = readCount(stream); left > 0 && stream.status() == QDataStream::Ok; --left) {
        StreamService service;
        qint64 coldMilliseconds = 0;
        stream >> service.name >> service.coldRequestsPerSecond >> coldMilliseconds;
        service.id = serviceIdOf(service.name.toUtf8());
        service.coldTime = std::chrono::milliseconds(coldMilliseconds);
        services.push_back(std::move(service));
    }
    if (stream.status() != QDataStream::Ok) {
        return nullptr;
    }
    return std::make_shared<const RouteTable>(version, std::move(routes), std::move(services), std::chrono::milliseconds(idleMilliseconds));
}

void writeChange(QDataStream &stream, TimePoint now, const DirectoryChange &change, DirectoryFormat format)
{
    const auto begin = [&](ChangeTag tag, const DirectoryPosition &position) {
        stream << tag;
        writePosition(stream, position, format);
    };
    if (const auto *listed = std::get_if<TargetListed>(&change)) {
        const StreamTarget &target = listed->target;
        begin(ChangeTag::Listed, listed->position);
        stream << target.name << target.incarnation << target.service << target.address << target.dataCentre << target.slotCount << target.isDraining
               << remainingMilliseconds(now, target.coldDeadline) << static_cast<qint64>(target.startTime.time_since_epoch().count());
    } else if (const auto *unlisted = std::get_if<TargetUnlisted>(&change)) {
        begin(ChangeTag::Unlisted, unlisted->position);
        stream << unlisted->name;
    } else if (const auto *switched = std::get_if<DataCentreSwitched>(&change)) {
        begin(ChangeTag::Switched, switched->position);
        stream << switched->name << switched->isOut;
    } else if (const auto *published = std::get_if<RoutesPublished>(&change)) {
        begin(ChangeTag::Routes, published->position);
        writeRoutes(stream, *published->routes, format);
    } else if (const auto *completed = std::get_if<FullReadCompleted>(&change)) {
        begin(ChangeTag::Completed, completed->position);
        stream << completed->targets << completed->dataCentresOut;
    }
}

std::optional<DirectoryChange> readChange(QDataStream &stream, TimePoint now, DirectoryFormat format)
{
    ChangeTag tag{};
    stream >> tag;
    const DirectoryPosition position = readPosition(stream, format);
    switch (tag) {
    case ChangeTag::Listed: {
        StreamTarget target;
        qint64 coldMilliseconds = 0;
        qint64 startMilliseconds = unknownStart;
        stream >> target.name >> target.incarnation >> target.service >> target.address >> target.dataCentre >> target.slotCount >> target.isDraining
            >> coldMilliseconds >> startMilliseconds;
        if (startMilliseconds == unknownStart) {
            return TargetUnlisted{position, target.name};
        }
        target.startTime = std::chrono::sys_time<std::chrono::milliseconds>(std::chrono::milliseconds(startMilliseconds));
        target.id = targetIdOf(target.name.toUtf8());
        target.coldDeadline = coldMilliseconds > 0 ? now + std::chrono::milliseconds(coldMilliseconds) : TimePoint{};
        return TargetListed{position, std::move(target)};
    }
    case ChangeTag::Unlisted: {
        TargetUnlisted unlisted{position, {}};
        stream >> unlisted.name;
        return unlisted;
    }
    case ChangeTag::Switched: {
        DataCentreSwitched switched{position, {}, false};
        stream >> switched.name >> switched.isOut;
        return switched;
    }
    case ChangeTag::Routes: {
        RouteTablePointer routes = readRoutes(stream, format);
        return routes != nullptr ? std::optional<DirectoryChange>(RoutesPublished{position, std::move(routes)}) : std::nullopt;
    }
    case ChangeTag::Completed: {
        FullReadCompleted completed{position, {}, {}};
        stream >> completed.targets >> completed.dataCentresOut;
        return completed;
    }
    }
    return std::nullopt;
}

}

void DirectoryImage::apply(const DirectoryBatch &batch)
{
    if (batch.position.era < m_position.era) {
        return;
    }
    for (const DirectoryChange &change : batch.changes) {
        if (const auto *listed = std::get_if<TargetListed>(&change)) {
            put(QStringLiteral("target ") + listed->target.name, listed->position, change);
        } else if (const auto *unlisted = std::get_if<TargetUnlisted>(&change)) {
            put(QStringLiteral("target ") + unlisted->name, unlisted->position, change);
        } else if (const auto *switched = std::get_if<DataCentreSwitched>(&change)) {
            put(QStringLiteral("data centre ") + switched->name, switched->position, change);
        } else if (const auto *published = std::get_if<RoutesPublished>(&change)) {
            put(QStringLiteral("routes"), published->position, change);
        } else if (const auto *completed = std::get_if<FullReadCompleted>(&change)) {
            complete(*completed);
        }
    }
    m_position = std::max(m_position, batch.position);
    evictRemovals();
}

DirectoryBatch DirectoryImage::since(const DirectoryPosition &position) const
{
    DirectoryBatch batch{m_position, {}, false};
    const bool needsFullBatch = position < m_compactedPosition;
    FullReadCompleted completed{m_position, {}, {}};
    for (const auto &[key, item] : m_items) {
        if (item.position > position || needsFullBatch) {
            batch.changes.push_back(item.change);
        }
        if (const auto *listed = std::get_if<TargetListed>(&item.change)) {
            completed.targets.insert(listed->target.name);
        } else if (const auto *switched = std::get_if<DataCentreSwitched>(&item.change); switched != nullptr && switched->isOut) {
            completed.dataCentresOut.insert(switched->name);
        }
    }
    if (needsFullBatch) {
        batch.changes.emplace_back(std::move(completed));
    }
    return batch;
}

void DirectoryImage::put(const QString &key, const DirectoryPosition &position, const DirectoryChange &change)
{
    Item &item = m_items[key];
    if (position >= item.position) {
        item = {position, change};
    }
}

void DirectoryImage::complete(const FullReadCompleted &completed)
{
    for (auto &[key, item] : m_items) {
        if (item.position > completed.position) {
            continue;
        }
        // The exact position at which a missing item was removed is unknown; that of the full read is the latest
        // possible one.
        const auto *listed = std::get_if<TargetListed>(&item.change);
        const auto *switched = std::get_if<DataCentreSwitched>(&item.change);
        if (listed != nullptr && !completed.targets.contains(listed->target.name)) {
            item = {completed.position, TargetUnlisted{completed.position, listed->target.name}};
        } else if (switched != nullptr && switched->isOut && !completed.dataCentresOut.contains(switched->name)) {
            item = {completed.position, DataCentreSwitched{completed.position, switched->name, false}};
        }
    }
    // The first full read of an era does not contain what was removed before it.
    const bool isFirst = m_position.isNull() || m_position.era < completed.position.era;
    m_compactedPosition = isFirst ? completed.position : m_compactedPosition;
}

void DirectoryImage::evictRemovals()
{
    std::vector<DirectoryPosition> removals;
    for (const auto &[key, item] : m_items) {
        if (isRemoval(item.change)) {
            removals.push_back(item.position);
        }
    }
    if (removals.size() <= removalLimit) {
        return;
    }
    std::ranges::nth_element(removals, removals.begin() + static_cast<std::ptrdiff_t>(removals.size() / 2));
    m_compactedPosition = std::max(m_compactedPosition, removals[removals.size() / 2]);
    std::erase_if(m_items, [this](const auto &entry) { return isRemoval(entry.second.change) && entry.second.position <= m_compactedPosition; });
}

QByteArray encodeDirectoryBatch(TimePoint now, const DirectoryBatch &batch, DirectoryFormat format)
{
    QByteArray bytes;
    QDataStream stream(&bytes, QIODevice::WriteOnly);
    stream.setVersion(wireVersion);
    stream << format;
    writePosition(stream, batch.position, format);
    stream << static_cast<quint32>(batch.changes.size());
    for (const DirectoryChange &change : batch.changes) {
        RP_ASSERT(!std::holds_alternative<SourceSwitched>(change));
        writeChange(stream, now, change, format);
    }
    return bytes;
}

std::optional<DirectoryBatch> decodeDirectoryBatch(TimePoint now, QByteArrayView bytes)
{
    const QByteArray raw = QByteArray::fromRawData(bytes.data(), bytes.size());
    QDataStream stream(raw);
    stream.setVersion(wireVersion);
    DirectoryFormat format{};
    DirectoryBatch batch;
    stream >> format;
    requireWire(stream, format >= DirectoryFormat::WithoutObjectives && format <= DirectoryFormat::WithEras);
    batch.position = readPosition(stream, format);
    for (quint32 left = readCount(stream); left > 0; --left) {
        std::optional<DirectoryChange> change = readChange(stream, now, format);
        if (!change || stream.status() != QDataStream::Ok) {
            return std::nullopt;
        }
        batch.changes.push_back(std::move(*change));
    }
    requireWire(stream, stream.atEnd());
    return stream.status() == QDataStream::Ok ? std::optional(std::move(batch)) : std::nullopt;
}

}
