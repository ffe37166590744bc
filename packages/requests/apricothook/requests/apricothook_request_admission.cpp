#include <apricothook/requests/apricothook_request_admission.hpp>

#include <apricothook/requests/apricothook_customer_key.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr Duration NotConfiguredRetry = std::chrono::seconds(1);

const ClassId &defaultClass()
{
    static const ClassId id("default");
    return id;
}

Refusal notRun(RefusalReason reason)
{
    return {reason, Outcome::NotRun, {}};
}

} // namespace

Result<RequestLife, Refusal> admitRequest(CallerRequest request, const ConfigurationIndex *index,
                                          Instant now)
{
    if (index == nullptr)
        return Refusal {RefusalReason::NotConfigured, Outcome::NotRun, NotConfiguredRetry};
    const Customer *customer = index->customerOfToken(request.tokenHash);
    if (customer == nullptr)
        return notRun(RefusalReason::Unauthorized);
    const Service *service = index->service(request.service);
    if (service == nullptr)
        return notRun(RefusalReason::UnknownService);
    const bool hasClass = !request.requestClass.isEmpty();
    const RequestClass *requestClass
        = index->requestClass(hasClass ? request.requestClass : defaultClass());
    if (requestClass == nullptr)
        return notRun(RefusalReason::UnknownClass);

    RequestLife exchange;
    exchange.configuration = index->configuration();
    exchange.customer = customer->id;
    exchange.requestClass = *requestClass;
    exchange.serviceKind = service->kind;
    exchange.isKeyGiven = !request.key.isEmpty();
    if (exchange.isKeyGiven)
        exchange.key = keyOfCustomer(request.key, customer->id);
    exchange.arrived = now;
    const Duration wait = request.wait.value_or(requestClass->patience);
    exchange.deadline = now + std::min(requestClass->patience, wait);
    exchange.request = std::move(request);
    return exchange;
}

} // namespace Apricothook
