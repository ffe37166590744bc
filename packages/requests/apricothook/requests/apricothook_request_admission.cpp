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

} // namespace

Outcome outcomeUnasked(const CallerRequest &request)
{
    return request.key.isEmpty() ? Outcome::NotRun : Outcome::Unknown;
}

Result<RequestLife, Refusal> admitRequest(CallerRequest request, const ConfigurationIndex *index,
                                          Instant now)
{
    const Outcome outcome = outcomeUnasked(request);
    if (index == nullptr)
        return Refusal {RefusalReason::NotConfigured, outcome, NotConfiguredRetry};
    const Customer *customer = index->customerOfToken(request.tokenHash);
    if (customer == nullptr)
        return Refusal {RefusalReason::Unauthorized, outcome, {}};
    const Service *service = index->service(request.service);
    if (service == nullptr)
        return Refusal {RefusalReason::UnknownService, outcome, {}};
    const bool hasClass = !request.requestClass.isEmpty();
    const RequestClass *requestClass
        = index->requestClass(hasClass ? request.requestClass : defaultClass());
    if (requestClass == nullptr)
        return Refusal {RefusalReason::UnknownClass, outcome, {}};

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
