#include <apricothook/membership/internal/apricothook_update_order.hpp>

#include <tuple>

namespace Apricothook {

namespace {

auto rankOf(const MemberUpdate &update)
{
    return std::tuple(update.instance.incarnation, update.refutation, update.state);
}

std::size_t endpointBound(const Endpoint &endpoint)
{
    const bool isVersion6 = endpoint.address.find(':') != std::string::npos;
    return isVersion6 ? 19 : 7;
}

} // namespace

bool replaces(const MemberUpdate &update, const MemberUpdate &known)
{
    return rankOf(update) > rankOf(known);
}

std::size_t wireBound(const MemberUpdate &update)
{
    // Array, incarnation, state, refutation, load, and the heads of the three names.
    constexpr std::size_t Heads = 1 + 9 + 1 + 3 + 5 + 3 * 2;
    return Heads + update.instance.member.text().size() + update.dataCentre.text().size()
        + update.region.text().size() + endpointBound(update.peerAddress)
        + endpointBound(update.callerAddress);
}

} // namespace Apricothook
