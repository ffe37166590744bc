#pragma once

#include <apricothook/model/apricothook_time.hpp>

#include <cstddef>

namespace Apricothook {

/** A daemon sends one probe per period, whatever the size of the fleet. */
constexpr Duration ProbePeriod = std::chrono::seconds(1);
/** Members asked to probe one that didn't answer. */
constexpr std::size_t IndirectProbers = 3;
/** Bytes of updates in one message, so that the datagram stays below 1,200 bytes. */
constexpr std::size_t UpdateBytes = 1000;
/** Bounds of the time-out that is learned from round trips. */
constexpr Duration ShortestProbeTimeout = std::chrono::milliseconds(200);
constexpr Duration LongestProbeTimeout = std::chrono::seconds(1);
/** Suspicions across regions last this many times longer; see docs/MEMBERSHIP.md. */
constexpr int FarSuspicionFactor = 4;
/** A gap between two calls from which this daemon takes itself for paused. */
constexpr Duration PauseGap = std::chrono::seconds(1);
/** Silence of the whole fleet from which this daemon doubts itself. */
constexpr Duration DeafAfter = std::chrono::seconds(3);
/** Suspects of its own that a daemon probes again in each period. */
constexpr std::size_t SuspectsProbedAgain = 3;
/** Members told at once when this daemon leaves or ends. */
constexpr std::size_t Announcements = 6;
/** Dead members are kept this long: no gossip of their lives is older, and splits are shorter. */
constexpr Duration DeadKept = std::chrono::hours(1);
constexpr Duration ForgetPeriod = std::chrono::minutes(1);
/** Between two exchanges of a part of the member list. */
constexpr Duration MendPeriod = std::chrono::seconds(10);
/** While members return after a split, the dead are asked once a period for this long. */
constexpr Duration MendingTime = std::chrono::seconds(30);
constexpr Duration JoinRetry = std::chrono::seconds(1);
constexpr std::size_t JoinSeeds = 3;
/** Losses older than this don't count towards a partition. */
constexpr Duration LossWindow = std::chrono::minutes(10);
/** Probes that a daemon relays for others at one time. */
constexpr std::size_t MaximumRelays = 64;

/** How often each update is sent by each daemon: grows with the logarithm of the fleet. */
std::size_t transmissionsFor(std::size_t members);
/** How long a member is suspected within a region before it is dead. */
Duration suspicionFor(std::size_t members);

} // namespace Apricothook
