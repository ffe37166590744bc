#pragma once

#include <apricothook/cli/apricothook_entry_client.hpp>
#include <apricothook/model/apricothook_endpoint.hpp>

namespace Apricothook {

/** Asks a daemon over HTTP at its caller address; each question has a timeout of 5 s. */
class HttpEntryClient : public EntryClient
{
public:
    explicit HttpEntryClient(const Endpoint &entry);

    EntryAnswer entries() override;
    EntryAnswer status() override;
    EntryAnswer explain(const std::string &key) override;

private:
    EntryAnswer call(const std::string &method, const Json::Value &parameters) const;

    std::string m_base;
};

} // namespace Apricothook
