#include "spread/instancesnapshot.h"

#include "configservice/documentmanifest.h"
#include "spread/documentdelta.h"

#include <QDataStream>
#include <QIODevice>

namespace Rattanpick
{

namespace
{

void write(QDataStream &stream, const Instance &instance)
{
    stream << instance.name.toUtf8() << static_cast<quint8>(instance.role) << instance.dataCentre.toUtf8();
    stream << instance.tunnel.address << instance.tunnel.port << instance.admin.address << instance.admin.port;
    stream << static_cast<quint32>(instance.target) << instance.isLeaving;
}

Instance read(QDataStream &stream)
{
    Instance instance;
    QByteArray name;
    QByteArray dataCentre;
    quint8 role = 0;
    quint32 target = 0;
    stream >> name >> role >> dataCentre;
    stream >> instance.tunnel.address >> instance.tunnel.port >> instance.admin.address >> instance.admin.port;
    stream >> target >> instance.isLeaving;
    instance.name = QString::fromUtf8(name);
    instance.dataCentre = QString::fromUtf8(dataCentre);
    instance.role = static_cast<InstanceRole>(role);
    instance.target = static_cast<TargetId>(target);
    if (role > static_cast<quint8>(InstanceRole::Agent)) {
        stream.setStatus(QDataStream::ReadCorruptData);
    }
    return instance;
}

}

InstanceSnapshotPointer InstanceSnapshotFactory::make(quint64 revision, const InstanceList &instances)
{
    QByteArray bytes;
    QDataStream stream(&bytes, QIODevice::WriteOnly);
    stream.setVersion(QDataStream::Qt_6_4);
    stream << revision << static_cast<quint32>(instances.size());
    for (const Instance &instance : instances) {
        write(stream, instance);
    }
    return std::make_shared<const InstanceSnapshot>(InstanceSnapshot{revision, instances, compressBytes(bytes)});
}

InstanceSnapshotPointer InstanceSnapshotFactory::decode(const QByteArray &encoded)
{
    const std::optional<QByteArray> plain = uncompressBytes(encoded, maximumDocumentBytes);
    if (!plain) {
        return nullptr;
    }
    QDataStream stream(*plain);
    stream.setVersion(QDataStream::Qt_6_4);
    InstanceSnapshot snapshot;
    quint32 count = 0;
    stream >> snapshot.revision >> count;
    for (quint32 index = 0; index < count && stream.status() == QDataStream::Ok; ++index) {
        snapshot.instances.append(read(stream));
    }
    if (stream.status() != QDataStream::Ok || !stream.atEnd()) {
        return nullptr;
    }
    snapshot.encoded = encoded;
    return std::make_shared<const InstanceSnapshot>(std::move(snapshot));
}

}
