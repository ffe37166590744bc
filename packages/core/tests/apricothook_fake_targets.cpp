#include <apricothook_fake_targets.hpp>

#include <algorithm>
#include <utility>

namespace Apricothook {

namespace {

constexpr Duration AnswerTime = std::chrono::milliseconds(100);

void writeUpTo(AnswerStream &stream, const std::string &answer, std::size_t end)
{
    stream.begin({200, {}});
    const std::size_t written = stream.bytesWritten();
    if (end > written)
        stream.append(answer.substr(written, end - written));
}

} // namespace

bool FakeTargets::order(std::size_t daemon, std::uint64_t life, TargetOrder order, Instant now)
{
    if (isRingFull) {
        refusedOrders += std::holds_alternative<DispatchOrder>(order) ? 1 : 0;
        return false;
    }
    if (auto *dispatched = std::get_if<DispatchOrder>(&order))
        dispatch(daemon, life, std::move(*dispatched), now);
    else if (const auto *cancelled = std::get_if<CancelOrder>(&order))
        cancel(daemon, cancelled->dispatch);
    else if (const auto *engine = std::get_if<EngineOrder>(&order))
        events.push_back({daemon, life, EngineOrderEnded {engine->id, engine->target, 200}});
    return true;
}

void FakeTargets::dispatch(std::size_t daemon, std::uint64_t life, DispatchOrder order, Instant now)
{
    const Reader reader {daemon, life, std::move(order)};
    takeTrap(reader.order);
    const TargetMode mode = modes[reader.order.target];
    if (now >= reader.order.notAfter)
        end(reader, RunEnd::Cancelled, true);
    else if (mode == TargetMode::Unreachable)
        end(reader, RunEnd::ConnectFailed, !reader.order.resumeOnly);
    else if (reader.order.resumeOnly)
        resume(reader);
    else if (mode == TargetMode::Refuses)
        end(reader, RunEnd::Refused, true);
    else
        runs.push_back({reader.order.key.text(),
                        *reader.order.body,
                        reader.order.target,
                        reader.order.kind,
                        now,
                        {reader}});
    if (mode == TargetMode::Crashes)
        crash(reader.order.target);
    if (mode == TargetMode::Straggles)
        straggle(reader.order.target);
    if (!runs.empty() && runs.back().readers.front().order.dispatch == reader.order.dispatch)
        runs.back().isSilent = std::exchange(m_losesNext, false);
}

void FakeTargets::takeTrap(const DispatchOrder &order)
{
    if (order.key.text() != trappedKey)
        return;
    modes[order.target] = trap;
    trappedKey.clear();
}

void FakeTargets::resume(const Reader &reader)
{
    const auto run = std::ranges::find_if(runs, [&reader](const Run &candidate) {
        return candidate.target == reader.order.target
            && candidate.readers.front().order.streamId == reader.order.streamId;
    });
    const bool isLost = run == runs.end() || (run->isEnded && run->given == 0);
    if (isLost) {
        end(reader, RunEnd::Refused, false);
        return;
    }
    run->readers.push_back(reader);
    if (run->isEnded)
        answer(*run);
}

void FakeTargets::cancel(std::size_t daemon, DispatchId dispatch)
{
    for (Run &run : runs) {
        const auto mine = std::ranges::find_if(run.readers, [&](const Reader &reader) {
            return reader.daemon == daemon && reader.order.dispatch == dispatch;
        });
        if (mine == run.readers.end() || run.isEnded)
            continue;
        endAll(run, RunEnd::Cancelled);
        return;
    }
}

void FakeTargets::end(const Reader &reader, RunEnd end, bool isProvenNotRun)
{
    DispatchEnded ended;
    ended.dispatch = reader.order.dispatch;
    ended.end = end;
    ended.isProvenNotRun = isProvenNotRun;
    notRun[reader.order.key.text()] += isProvenNotRun ? 1 : 0;
    events.push_back({reader.daemon, reader.life, ended});
}

void FakeTargets::endAll(Run &run, RunEnd runEnd)
{
    run.isEnded = true;
    for (const Reader &reader : run.readers) {
        if (reader.life != 0)
            end(reader, runEnd);
    }
}

void FakeTargets::writeHalf(Run &run)
{
    const std::string whole = answerTo(run.body);
    run.given = whole.size() / 2;
    for (const Reader &reader : run.readers) {
        writeUpTo(*reader.order.answer, whole, run.given);
        events.push_back({reader.daemon, reader.life, DispatchStarted {reader.order.dispatch, {}}});
    }
}

void FakeTargets::answer(Run &run)
{
    const std::string whole = answerTo(run.body);
    run.isEnded = true;
    run.given = whole.size();
    for (Reader &reader : run.readers) {
        if (reader.life == 0)
            continue;
        writeUpTo(*reader.order.answer, whole, whole.size());
        reader.order.answer->finish();
        end(reader, RunEnd::Answered);
        reader.life = 0;
    }
}

void FakeTargets::advance(Instant now)
{
    for (std::size_t i = 0; i < runs.size(); ++i) {
        if (runs[i].isEnded)
            continue;
        meetDeadlines(runs[i], now);
        if (answersAlone && !runs[i].isSilent && !runs[i].isSlow
            && now >= runs[i].began + AnswerTime)
            answer(runs[i]);
    }
}

void FakeTargets::meetDeadlines(Run &run, Instant now)
{
    const DispatchDeadlines &deadlines = run.readers.back().order.deadlines;
    if (run.isSilent && run.kind == ServiceKind::Engine
        && now >= run.began + deadlines.betweenBytes)
        run.isSilent = false; // The adapter resumed the stream on a new connection.
    if (now >= deadlines.end && !run.isEnded)
        endAll(run, RunEnd::TimedOut);
}

void FakeTargets::crash(const TargetId &target)
{
    for (Run &run : runs) {
        if (run.target == target && !run.isEnded) {
            endAll(run, RunEnd::Crashed);
            run.given = 0;
        }
    }
}

void FakeTargets::straggle(const TargetId &target)
{
    for (Run &run : runs)
        run.isSlow = run.isSlow || (run.target == target && !run.isEnded);
}

void FakeTargets::loseConnections()
{
    m_losesNext = !hasOpenRun();
    for (Run &run : runs)
        run.isSilent = !run.isEnded;
}

void FakeTargets::forgetDaemon(std::size_t daemon)
{
    for (Run &run : runs) {
        for (Reader &reader : run.readers)
            reader.life = reader.daemon == daemon ? 0 : reader.life;
    }
}

std::size_t FakeTargets::runsOf(const std::string &key) const
{
    return static_cast<std::size_t>(std::ranges::count(runs, key, &Run::key));
}

bool FakeTargets::hasOpenRun() const
{
    return std::ranges::any_of(runs, [](const Run &run) { return !run.isEnded; });
}

} // namespace Apricothook
