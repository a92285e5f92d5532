// Stand-in for callers, targets and links: opens many short flows, answers them, and delays the messages between machines.
//
// Usage: traffic SECONDS LEAD RATE DELAY_MS CALLER_ADDRESS ROUTE_ADDRESS ROUTE_PORT LOG B:LOCAL... T:PUBLIC:LOCAL... M:PUBLIC:LOCAL:ZONE...
//   LEAD  seconds before the first opening
//   B  address of a balancer process, which takes packets of callers at port 8172
//   T  a target with its application address and the address of its agent process
//   M  a machine whose messages are delayed: its public address, the address of its process and its zone. DELAY_MS holds between
//      zones; inside a zone the delay is 0.1 ms.
// The log has a line per opening that a target takes: index of the target, time sent and time taken (CLOCK_MONOTONIC, seconds).

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace
{

constexpr uint16_t callersPort = 8172;
constexpr uint16_t outboundPort = 8173;
constexpr uint16_t appPort = 8080;
constexpr uint16_t messagePort = 7720;
constexpr uint8_t syn = 64, ack = 128, fin = 32, rst = 16, bounced = 1;
constexpr std::size_t headerSize = 32;
constexpr std::size_t answerSize = 600, requestSize = 300;
constexpr double workSeconds = 0.003, requestDeadline = 2.0;
constexpr double copyTimes[] = {0.2, 0.6};
constexpr double openingLimit = 1.4;
constexpr double zoneDelay = 0.0001;
constexpr uint16_t firstPort = 2000, lastPort = 62000;

double now()
{
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return time.tv_sec + time.tv_nsec * 1e-9;
}

struct Packet
{
    uint32_t sequence = 0, acknowledgement = 0;
    uint16_t destinationPort = 0, sourcePort = 0;
    uint32_t source = 0, destination = 0;
    uint8_t flags = 0;
    uint32_t sum = 0;
    uint16_t length = 0;
    uint32_t tag = 0;
};

template <typename Number>
Number get(const char *bytes, std::size_t offset)
{
    Number value;
    std::memcpy(&value, bytes + offset, sizeof(value));
    return value;
}

template <typename Number>
void set(char *bytes, std::size_t offset, Number value)
{
    std::memcpy(bytes + offset, &value, sizeof(value));
}

Packet decode(const char *bytes)
{
    Packet packet;
    packet.sequence = get<uint32_t>(bytes, 0);
    packet.acknowledgement = get<uint32_t>(bytes, 4);
    packet.destinationPort = get<uint16_t>(bytes, 8);
    packet.sourcePort = get<uint16_t>(bytes, 10);
    packet.source = get<uint32_t>(bytes, 12);
    packet.destination = get<uint32_t>(bytes, 16);
    packet.flags = get<uint8_t>(bytes, 20);
    packet.sum = get<uint32_t>(bytes, 22);
    packet.length = get<uint16_t>(bytes, 26);
    packet.tag = get<uint32_t>(bytes, 28);
    return packet;
}

std::string encode(const Packet &packet)
{
    std::string bytes(headerSize + packet.length, 'x');
    set(bytes.data(), 0, packet.sequence);
    set(bytes.data(), 4, packet.acknowledgement);
    set(bytes.data(), 8, packet.destinationPort);
    set(bytes.data(), 10, packet.sourcePort);
    set(bytes.data(), 12, packet.source);
    set(bytes.data(), 16, packet.destination);
    set(bytes.data(), 20, packet.flags);
    set(bytes.data(), 21, uint8_t{0});
    // The system has no key for the sum and passes it on unchanged.
    set(bytes.data(), 22, uint32_t{0x5eed5eed});
    set(bytes.data(), 26, packet.length);
    set(bytes.data(), 28, packet.tag);
    return bytes;
}

sockaddr_in endpoint(const std::string &address, uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

int openSocket(const std::string &address, uint16_t port, int type)
{
    const int descriptor = socket(AF_INET, type | SOCK_NONBLOCK, 0);
    const int on = 1, size = 4 << 20;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    const sockaddr_in at = endpoint(address, port);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) != 0 || (type == SOCK_STREAM && listen(descriptor, 64) != 0)) {
        std::perror(("cannot open " + address + ':' + std::to_string(port)).c_str());
        std::exit(2);
    }
    return descriptor;
}

struct Delayed
{
    double due;
    int descriptor;
    sockaddr_in to;
    std::string bytes;
};

struct TargetFlow
{
    uint32_t opening = 0, sequence = 0, expected = 0;
    bool isOpen = false, hasEnded = false;
    std::string answer;
};

struct Target
{
    int descriptor, listener;
    sockaddr_in agent;
    std::unordered_map<uint64_t, TargetFlow> flows;
};

struct Machine
{
    int descriptor;
    sockaddr_in process;
    std::string zone;
};

struct CallerFlow
{
    double openedAt;
    uint32_t sequence, expected = 0;
    int copies = 0;
    bool isOpen = false;
    double requestedAt = 0;
};

void sendTo(int descriptor, const sockaddr_in &to, const std::string &bytes)
{
    sendto(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
}

}

int main(int argc, char **argv)
{
    if (argc < 10) {
        return 2;
    }
    const double end = now() + std::atof(argv[1]);
    const double lead = std::atof(argv[2]);
    const double rate = std::atof(argv[3]);
    const double delay = std::atof(argv[4]) * 1e-3;
    const std::string callerAddress = argv[5];
    const uint32_t callerNumber = ntohl(endpoint(callerAddress, 0).sin_addr.s_addr);
    const uint32_t routeNumber = ntohl(endpoint(argv[6], 0).sin_addr.s_addr);
    const auto routePort = static_cast<uint16_t>(std::atoi(argv[7]));
    std::FILE *log = std::fopen(argv[8], "w");
    std::vector<sockaddr_in> balancers;
    std::vector<Target> targets;
    std::vector<Machine> machines;
    std::unordered_map<in_addr_t, std::string> zones;
    for (int index = 9; index < argc; ++index) {
        const std::string word = argv[index];
        const std::size_t colon = word.find(':', 2);
        const std::string first = word.substr(2, colon == std::string::npos ? colon : colon - 2);
        const std::string rest = colon == std::string::npos ? "" : word.substr(colon + 1);
        const std::string second = rest.substr(0, rest.find(':'));
        if (word[0] == 'B') {
            balancers.push_back(endpoint(first, callersPort));
        } else if (word[0] == 'T') {
            targets.push_back({openSocket(first, appPort, SOCK_DGRAM), openSocket(first, appPort, SOCK_STREAM), endpoint(second, outboundPort), {}});
        } else {
            machines.push_back({openSocket(first, messagePort, SOCK_DGRAM), endpoint(second, messagePort), rest.substr(rest.find(':') + 1)});
            zones[machines.back().process.sin_addr.s_addr] = machines.back().zone;
        }
    }
    const int callers = openSocket(callerAddress, callersPort, SOCK_DGRAM);
    const int router = openSocket(callerAddress, 0, SOCK_DGRAM);
    std::mt19937 random(std::random_device{}());
    std::unordered_map<uint16_t, CallerFlow> flows;
    std::unordered_map<uint64_t, double> sentTimes;
    // Messages inside a zone have one delay, those between zones another, and works one length, so that each queue is ordered by time.
    std::deque<Delayed> nearMessages, messages, answers;
    uint16_t nextPort = firstPort;
    double nextOpening = now() + lead, nextCheck = now();
    uint64_t opened = 0, answered = 0;
    const auto fromCaller = [&](uint16_t port, const CallerFlow &flow, uint8_t flags, uint16_t length, uint32_t acknowledgement) {
        Packet packet;
        packet.sequence = flow.sequence;
        packet.acknowledgement = acknowledgement;
        packet.source = callerNumber;
        packet.sourcePort = port;
        packet.destination = routeNumber;
        packet.destinationPort = routePort;
        packet.flags = flags;
        packet.length = length;
        sendTo(router, balancers[port % balancers.size()], encode(packet));
    };
    std::vector<pollfd> descriptors;
    descriptors.push_back({callers, POLLIN, 0});
    for (const Target &target : targets) {
        descriptors.push_back({target.descriptor, POLLIN, 0});
    }
    for (const Machine &machine : machines) {
        descriptors.push_back({machine.descriptor, POLLIN, 0});
    }
    for (const Target &target : targets) {
        descriptors.push_back({target.listener, POLLIN, 0});
    }
    char buffer[2048];
    for (double time = now(); time < end; time = now()) {
        while (time >= nextOpening && end - time > 3) {
            nextOpening += 1 / rate;
            const uint16_t port = nextPort;
            nextPort = nextPort == lastPort ? firstPort : nextPort + 1;
            CallerFlow &flow = flows[port] = CallerFlow{time, static_cast<uint32_t>(random())};
            sentTimes[uint64_t{port} << 32 | flow.sequence] = time;
            fromCaller(port, flow, syn, 0, 0);
            ++opened;
        }
        for (std::deque<Delayed> *queue : {&nearMessages, &messages, &answers}) {
            while (!queue->empty() && time >= queue->front().due) {
                sendTo(queue->front().descriptor, queue->front().to, queue->front().bytes);
                queue->pop_front();
            }
        }
        if (time >= nextCheck) {
            nextCheck = time + 0.05;
            for (auto place = flows.begin(); place != flows.end();) {
                CallerFlow &flow = place->second;
                if (time - flow.openedAt > (flow.isOpen ? requestDeadline : openingLimit)) {
                    place = flows.erase(place);
                    continue;
                }
                if (!flow.isOpen && flow.copies < 2 && time - flow.openedAt >= copyTimes[flow.copies]) {
                    ++flow.copies;
                    fromCaller(place->first, flow, syn, 0, flow.copies);
                } else if (flow.isOpen && time - flow.requestedAt >= 0.2) {
                    flow.requestedAt = time;
                    fromCaller(place->first, flow, ack, requestSize, flow.expected);
                }
                ++place;
            }
        }
        double next = std::min(nextOpening, nextCheck);
        next = nearMessages.empty() ? next : std::min(next, nearMessages.front().due);
        next = messages.empty() ? next : std::min(next, messages.front().due);
        next = answers.empty() ? next : std::min(next, answers.front().due);
        const double wait = std::max(0.0, next - now());
        const timespec limit{0, static_cast<long>(std::min(wait, 0.05) * 1e9)};
        if (ppoll(descriptors.data(), descriptors.size(), &limit, nullptr) <= 0) {
            continue;
        }
        for (std::size_t index = 0; index < descriptors.size(); ++index) {
            if (descriptors[index].revents == 0) {
                continue;
            }
            if (index > targets.size() + machines.size()) {
                close(accept(descriptors[index].fd, nullptr, nullptr));
                continue;
            }
            for (int count = 0; count < 64; ++count) {
                sockaddr_in sender{};
                socklen_t senderSize = sizeof(sender);
                const ssize_t size =
                    recvfrom(descriptors[index].fd, buffer, sizeof(buffer), MSG_DONTWAIT, reinterpret_cast<sockaddr *>(&sender), &senderSize);
                if (size <= 0) {
                    break;
                }
                time = now();
                if (index > targets.size()) {
                    const Machine &machine = machines[index - 1 - targets.size()];
                    const bool isNear = zones[sender.sin_addr.s_addr] == machine.zone;
                    (isNear ? nearMessages : messages)
                        .push_back({time + (isNear ? zoneDelay : delay), machine.descriptor, machine.process, std::string(buffer, static_cast<std::size_t>(size))});
                    continue;
                }
                Packet packet = decode(buffer);
                if (index == 0) {
                    // A packet for a caller.
                    const auto found = flows.find(packet.destinationPort);
                    if (found == flows.end()) {
                        continue;
                    }
                    CallerFlow &flow = found->second;
                    if ((packet.flags & rst) != 0) {
                        flows.erase(found);
                    } else if ((packet.flags & syn) != 0) {
                        if (!flow.isOpen && packet.acknowledgement == flow.sequence + 1) {
                            flow.isOpen = true;
                            flow.sequence += 1;
                            flow.expected = packet.sequence + 1;
                            flow.requestedAt = time;
                            fromCaller(packet.destinationPort, flow, ack, requestSize, flow.expected);
                        }
                    } else if (flow.isOpen && packet.length > 0 && packet.sequence == flow.expected) {
                        flow.sequence += requestSize;
                        fromCaller(packet.destinationPort, flow, fin | ack, 0, flow.expected + packet.length);
                        flows.erase(found);
                        ++answered;
                    }
                    continue;
                }
                Target &target = targets[index - 1];
                const uint64_t key = uint64_t{packet.source} << 16 | packet.sourcePort;
                const auto reply = [&](const TargetFlow &flow, uint8_t flags, uint32_t sequence, uint16_t length) {
                    Packet answer;
                    answer.sequence = sequence;
                    answer.acknowledgement = flow.expected;
                    answer.source = packet.destination;
                    answer.sourcePort = packet.destinationPort;
                    answer.destination = packet.source;
                    answer.destinationPort = packet.sourcePort;
                    answer.flags = flags;
                    answer.length = length;
                    return encode(answer);
                };
                auto found = target.flows.find(key);
                if ((packet.flags & syn) != 0) {
                    if (found == target.flows.end() || found->second.opening != packet.sequence) {
                        target.flows[key] = TargetFlow{packet.sequence, static_cast<uint32_t>(random()), packet.sequence + 1, false, false, {}};
                        std::fprintf(log, "%zu %.6f %.6f\n", index - 1, sentTimes[uint64_t{packet.sourcePort} << 32 | packet.sequence], time);
                        found = target.flows.find(key);
                    }
                    sendTo(target.descriptor, target.agent, reply(found->second, syn | ack, found->second.sequence, 0));
                    continue;
                }
                if (found == target.flows.end() || (!found->second.isOpen && packet.acknowledgement != found->second.sequence + 1)) {
                    std::string back(buffer, static_cast<std::size_t>(size));
                    set(back.data(), 20, static_cast<uint8_t>(packet.flags | bounced));
                    set(back.data(), 21, uint8_t{0});
                    sendTo(target.descriptor, target.agent, back);
                    continue;
                }
                TargetFlow &flow = found->second;
                flow.isOpen = true;
                if (packet.length > 0 && packet.sequence == flow.expected) {
                    flow.expected += packet.length;
                    flow.answer = reply(flow, ack, flow.sequence + 1, answerSize);
                    answers.push_back({time + workSeconds, target.descriptor, target.agent, flow.answer});
                } else if (packet.length > 0 && !flow.answer.empty()) {
                    sendTo(target.descriptor, target.agent, flow.answer);
                }
                if ((packet.flags & fin) != 0) {
                    flow.expected += flow.hasEnded ? 0 : 1;
                    flow.hasEnded = true;
                    sendTo(target.descriptor, target.agent, reply(flow, fin | ack, flow.sequence + 1 + answerSize, 0));
                }
            }
        }
    }
    std::fclose(log);
    std::printf("%llu opened, %llu answered\n", static_cast<unsigned long long>(opened), static_cast<unsigned long long>(answered));
    return 0;
}
