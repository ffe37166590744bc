#pragma once

#include <apricothook/testing/apricothook_site_target.hpp>
#include <apricothook/testing/load/apricothook_load_client.hpp>
#include <apricothook/testing/load/apricothook_load_mix.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace Apricothook {

/** Where a request goes: the URL, and what its key must begin with. */
struct LoadRoute
{
    std::string url;
    std::string ticket;
    /** Index of the caller or target, for keeping count; -1: nowhere to go. */
    int index = -1;
};

/** Decides where requests go. */
class LoadRouter
{
public:
    virtual ~LoadRouter() = default;
    virtual LoadRoute route(const LoadKind &kind) = 0;
    /** The answer of a routed request is over. */
    virtual void release(int index) = 0;
    /** Refreshes lookups or load reports that are due. */
    virtual void refresh(LoadClient &client, Instant now) = 0;
    virtual bool isReady() const = 0;
};

/** Callers that ask the system which entries to use and keep the answer for as long as told. */
class EntryRouter : public LoadRouter
{
public:
    EntryRouter(std::vector<std::string> entries, std::uint32_t callers, std::uint64_t seed);
    LoadRoute route(const LoadKind &kind) override;
    void release(int) override { }
    void refresh(LoadClient &client, Instant now) override;
    bool isReady() const override;

private:
    struct Caller
    {
        std::vector<std::string> entries;
        std::string ticket;
        Instant refreshAt {};
        bool isAsking = false;
    };

    void take(Caller &caller, const LoadAnswer &answer);

    std::vector<std::string> m_seeds;
    std::vector<Caller> m_callers;
    std::mt19937_64 m_random;
};

enum class BaselinePolicy { RoundRobin, LeastLoad };

/** Sends straight to the targets, as a site without the system would. */
class BaselineRouter : public LoadRouter
{
public:
    BaselineRouter(std::vector<SiteTarget> targets, BaselinePolicy policy);
    LoadRoute route(const LoadKind &kind) override;
    void release(int) override { }
    void refresh(LoadClient &client, Instant now) override;
    bool isReady() const override { return true; }

private:
    std::vector<SiteTarget> m_targets;
    BaselinePolicy m_policy;
    std::map<std::string, std::size_t> m_turns;
    /** The engines' own last word, per target. */
    std::vector<std::uint64_t> m_loads;
    Instant m_refreshAt {};
};

} // namespace Apricothook
