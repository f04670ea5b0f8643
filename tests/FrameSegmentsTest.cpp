#include "dragonflylane/FrameSegments.h"
#include "dragonflylane/FrameQueue.h"
#include "dragonflylane/LinkPacer.h"
#include "dragonflylane/ResultCode.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TimePoint start { seconds(100) };

    /// Payload of an encoded frame.
    std::string_view payloadOf(const std::string& encoded)
    {
        FrameView frame;
        EXPECT_FALSE(decodeFrame(encoded, maxFramePayloadBytes, frame));
        EXPECT_EQ(frame.size, encoded.size());
        return frame.payload;
    }

    /// Longest time that a short response waits on a paced link of 1 MB/s with a load of two thirds from downloads.
    Duration longestWaitOfShortResponse(bool isSplit)
    {
        constexpr size_t bytesPerSecond = 1'000'000;
        constexpr size_t shortAnswerBytes = 600;
        std::mt19937_64 random(1);
        std::uniform_int_distribution<size_t> downloadBytes(20'000, 300'000);
        LinkPacer pacer({ .bytesPerSecond = bytesPerSecond });
        FrameQueue queue;
        std::vector<TimePoint> queuedAt;
        Duration longest {};
        double dueBytes = 0;
        for (TimePoint now = start; now < start + seconds(20); now += milliseconds(1)) {
            dueBytes += 0.66 * bytesPerSecond / 1000;
            if (dueBytes > 0) {
                size_t bytes = downloadBytes(random);
                dueBytes -= static_cast<double>(bytes);
                queue.push(
                    FrameKind::ForwardResponse, std::string(bytes, 'd'), 10'000, isSplit ? pacer.segmentBytes() : 0);
            }
            if ((now - start) % milliseconds(20) == Duration::zero()) {
                queue.push(FrameKind::ForwardResponse, std::string(shortAnswerBytes, 's'), 10'000, 0);
                queuedAt.push_back(now);
            }
            while (!queue.isEmpty() && pacer.maySend(now)) {
                size_t smallBefore = queue.smallBytes();
                size_t before = queue.bytes();
                queue.takeBatch(pacer.batchBytes());
                pacer.sent(before - queue.bytes(), 0, now);
                for (size_t i = 0; i < (smallBefore - queue.smallBytes()) / shortAnswerBytes; ++i) {
                    longest = std::max(longest, now - queuedAt.front());
                    queuedAt.erase(queuedAt.begin());
                }
            }
        }
        return longest;
    }

} // namespace

// Guards against a frame that differs after it was split and reassembled, for sizes around the segment limit.
TEST(FrameSegmentsTest, ReassembledFrameEqualsTheOriginal)
{
    constexpr size_t limit = 100;
    for (size_t size : { 1, 94, 95, 96, 195, 196, 1000 }) {
        std::string frame = encodeFrame(FrameKind::Relay, std::string(size, 'x'));
        FrameReassembler reassembler;
        std::string whole;
        std::vector<std::string> segments = splitFrame(FrameLane::Bulk, frame, limit);
        if (frame.size() <= limit) {
            EXPECT_EQ(segments, std::vector<std::string> { frame });
            continue;
        }
        for (const std::string& segment : segments) {
            EXPECT_TRUE(whole.empty());
            EXPECT_FALSE(reassembler.add(payloadOf(segment), whole));
        }
        EXPECT_EQ(whole, frame);
    }
}

// Guards against mixing up interleaved segments of two lanes.
TEST(FrameSegmentsTest, LanesMayInterleave)
{
    std::string first = encodeFrame(FrameKind::ForwardResponse, std::string(300, 'a'));
    std::string second = encodeFrame(FrameKind::Relay, std::string(300, 'b'));
    std::vector<std::string> bulk = splitFrame(FrameLane::Bulk, first, 200);
    std::vector<std::string> control = splitFrame(FrameLane::Control, second, 200);
    FrameReassembler reassembler;
    std::string whole;
    EXPECT_FALSE(reassembler.add(payloadOf(bulk[0]), whole));
    EXPECT_FALSE(reassembler.add(payloadOf(control[0]), whole));
    EXPECT_FALSE(reassembler.add(payloadOf(control[1]), whole));
    EXPECT_EQ(whole, second);
    EXPECT_FALSE(reassembler.add(payloadOf(bulk[1]), whole));
    EXPECT_EQ(whole, first);
}

// Guards against a peer that uses up memory with a frame without end, or that crashes the reassembly.
TEST(FrameSegmentsTest, RejectsMalformedAndEndlessFrames)
{
    using namespace std::string_literals;
    FrameReassembler reassembler;
    std::string whole;
    for (const std::string& payload : { ""s, "\x01"s, "\x04\x00x"s, "\x01\x02x"s })
        EXPECT_EQ(reassembler.add(payload, whole), ResultCode::MalformedFrame);
    std::string piece = "\x03\x00"s + std::string(1 << 20, 'x');
    std::error_code error;
    size_t pieces = 0;
    while (!error && pieces < 100) {
        error = reassembler.add(piece, whole);
        ++pieces;
    }
    EXPECT_EQ(error, ResultCode::FrameTooLarge);
    EXPECT_LE(pieces, (maxFramePayloadBytes >> 20) + 1);
}

// Guards against short responses that wait behind downloads on a slow link. The calls that need these responses have a
// tenth of a second in total.
TEST(FrameSegmentsTest, ShortResponsesDoNotWaitForDownloads)
{
    EXPECT_LE(longestWaitOfShortResponse(true), milliseconds(50));
    EXPECT_GT(longestWaitOfShortResponse(false), milliseconds(200));
}

} // namespace dragonflylane
