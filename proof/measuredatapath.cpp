// Measures the data path of a balancer and the candidate tables; prints CSV on standard output.

#include <balancer/candidatetable.h>
#include <balancer/homerouting.h>
#include <balancer/router.h>
#include <fabric/innerpacket.h>
#include <fabric/peermessagecodec.h>

#include <CLI/CLI.hpp>

#include <QFile>

#include <cstdio>
#include <ctime>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace Rattanpick;

namespace
{

constexpr quint32 openFlows = 300'000;
constexpr quint32 newFlowsPerSecond = 5'000;
constexpr qsizetype payloadSize = 200;
constexpr int lookupCount = 1'000'000;
constexpr double nanosecondsPerSecond = 1e9;

/// CPU time of this thread in nanoseconds, so that other load on the machine does not distort the measurement.
double processorNanoseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * nanosecondsPerSecond + static_cast<double>(time.tv_nsec);
}

/// Resident memory of the process in bytes.
long long residentBytes()
{
    constexpr long long pageSize = 4096;
    QFile file(QStringLiteral("/proc/self/statm"));
    if (!file.open(QIODevice::ReadOnly)) {
        return 0;
    }
    return file.readAll().split(' ').value(1).toLongLong() * pageSize;
}

void print(const char *measurement, long long targets, double value, const char *unit)
{
    std::printf("%s,%lld,%.1f,%s\n", measurement, targets, value, unit);
    std::fflush(stdout);
}

const ServiceId service = serviceIdOf("measured");
const Endpoint address{0x0a010001, 7000};

ConfigurationPointer configuration(quint64 version, int targetCount, int firstTarget = 0)
{
    std::vector<Target> targets;
    for (int number = firstTarget; number < firstTarget + targetCount; ++number) {
        Target target;
        target.name = QStringLiteral("target-%1").arg(number);
        target.id = targetIdOf(target.name.toUtf8());
        target.service = service;
        target.dataCentre = QStringLiteral("one");
        target.agent = {0x0a020000 + static_cast<quint32>(number), 6000};
        targets.push_back(target);
    }
    Service measured;
    measured.name = QStringLiteral("measured");
    measured.id = service;
    measured.address = address;
    return std::make_shared<const Configuration>(
        ConfigurationVersion{version, version}, std::vector{DataCentre{QStringLiteral("one"), {}, {}, false}}, std::vector{measured}, std::move(targets));
}

FlowKey flow(quint32 number)
{
    return {{0x0a640000 + number / 60000, static_cast<quint16>(1024 + number % 60000)}, address, 17};
}

/// The flows of the packets in order of arrival: random open flows, mixed with new flows at the rate of the design.
std::vector<FlowKey> traffic(int packets, std::mt19937_64 &random)
{
    // With one packet per flow every 3 s, 300,000 flows send 100,000 packets a second. With 5,000 openings a second,
    // one packet in 20 opens a flow.
    constexpr quint64 packetsPerOpening = 20;
    std::vector<FlowKey> flows;
    quint32 first = 0;
    for (int packet = 0; packet < packets; ++packet) {
        const bool isNew = random() % packetsPerOpening == 0;
        first += isNew ? 1U : 0U;
        flows.push_back(flow(isNew ? first + openFlows : first + static_cast<quint32>(random() % openFlows)));
    }
    return flows;
}

void measureDataPath(int targetCount, std::mt19937_64 &random)
{
    constexpr int packets = 500'000;
    const std::vector<FlowKey> flows = traffic(packets, random);
    const long long before = residentBytes();
    Router router(RouterSettings{}, std::make_unique<HomeRouting>());
    router.applyConfiguration(configuration(1, targetCount));
    router.applyConfiguration(configuration(2, targetCount - 1));
    const TimePoint now = Clock::now();

    double start = processorNanoseconds();
    quint64 forwarded = 0;
    for (const FlowKey &key : flows) {
        forwarded += router.route(now, key).drop == DropReason::None ? 1U : 0U;
    }
    print("route", targetCount, (processorNanoseconds() - start) / packets, "ns/packet");
    print("resident-after-300000-flows", targetCount, static_cast<double>(residentBytes() - before), "bytes added");

    std::vector<QByteArray> arrivals;
    constexpr std::size_t distinctPackets = 10'000;
    for (std::size_t index = 0; index < distinctPackets; ++index) {
        arrivals.push_back(InnerPacket{flows[index], false, QByteArray(payloadSize, 'x')}.encode());
    }
    const PeerMessageCodec codec(PeerMessageCodec::Key{1});
    quint64 bytes = 0;
    start = processorNanoseconds();
    for (int packet = 0; packet < packets; ++packet) {
        std::optional<InnerPacket> inner = InnerPacket::fromCaller(arrivals[static_cast<std::size_t>(packet) % distinctPackets]);
        const RouteDecision decision = router.route(now, inner->flow);
        PeerMessage message{{}, Forward{decision.hops, inner->flow, std::move(inner->payload)}};
        message.header.service = decision.service;
        message.header.destination = decision.next.target;
        bytes += static_cast<quint64>(codec.encode(message).size());
    }
    const double perPacket = (processorNanoseconds() - start) / packets;
    print("decode-route-encode", targetCount, perPacket, "ns/packet");
    print("packets-a-second-of-one-core", targetCount, nanosecondsPerSecond / perPacket, "packets/s");
    print("share-of-a-core-for-openings", targetCount, 100 * perPacket * newFlowsPerSecond / nanosecondsPerSecond, "percent");
    if (forwarded != packets || bytes == 0) {
        std::fprintf(stderr, "measure_datapath: packets were dropped\n");
    }
}

void measureTable(int targetCount, std::mt19937_64 &random)
{
    const ConfigurationPointer document = configuration(1, targetCount);
    double start = processorNanoseconds();
    const auto table = std::make_unique<const CandidateTable>(*document, service);
    print("table-build", targetCount, (processorNanoseconds() - start) / 1000, "us");
    print("table-memory", targetCount, static_cast<double>(table->memoryBytes()), "bytes");

    // Lookups in random order, as with real packets, to get realistic cache misses.
    std::vector<FlowKey> flows;
    flows.reserve(lookupCount);
    for (int index = 0; index < lookupCount; ++index) {
        flows.push_back(flow(static_cast<quint32>(random() % openFlows)));
    }
    quint64 sum = 0;
    start = processorNanoseconds();
    for (const FlowKey &key : flows) {
        sum += static_cast<quint32>(table->candidatesOf(key).front().target);
    }
    print("look-up", targetCount, (processorNanoseconds() - start) / lookupCount, "ns");

    const ConfigurationPointer changed = configuration(2, targetCount - 1);
    start = processorNanoseconds();
    const CandidateTable after(*changed, service);
    print("table-build-after-change-of-one", targetCount, (processorNanoseconds() - start) / 1000, "us");
    int moved = 0;
    for (const FlowKey &key : flows) {
        moved += table->candidatesOf(key).front() != after.candidatesOf(key).front() ? 1 : 0;
    }
    print("flows-with-another-first-candidate", targetCount, 100.0 * moved / lookupCount, "percent");
    if (sum == 0) {
        std::fprintf(stderr, "measure_datapath: no candidate\n");
    }
}

}

int main(int argc, char **argv)
{
    CLI::App commandLine("Measures the data path of a balancer and the candidate tables; prints CSV", "measure_datapath");
    quint64 seed = 1;
    std::vector<int> counts{10, 30, 100, 300, 1000, 3000, 10000};
    commandLine.add_option("--seed", seed, "Seed of the traffic")->capture_default_str();
    commandLine.add_option("--targets", counts, "Numbers of targets of a service")->capture_default_str();
    CLI11_PARSE(commandLine, argc, argv);

    std::mt19937_64 random(seed);
    std::printf("measurement,targets,value,unit\n");
    for (const int targets : {7, 10, 1000}) {
        measureDataPath(targets, random);
    }
    for (const int targets : counts) {
        measureTable(targets, random);
    }
    return 0;
}
