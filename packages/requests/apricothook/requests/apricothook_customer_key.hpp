#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>

namespace Apricothook {

/**
 * The key under which homes know a request: the caller's key and the customer. Without the customer
 * two customers who both number their orders would take each other's keys.
 */
inline RequestKey keyOfCustomer(const RequestKey &callerKey, const CustomerId &customer)
{
    return RequestKey(callerKey.text() + "@" + customer.text());
}

/** The caller's part of a key of keyOfCustomer(); customers have no '@' in their names. */
inline RequestKey callerKeyOf(const RequestKey &key)
{
    return RequestKey(key.text().substr(0, key.text().rfind('@')));
}

/** The customer of a key of keyOfCustomer(). */
inline CustomerId customerOfKey(const RequestKey &key)
{
    return CustomerId(key.text().substr(key.text().rfind('@') + 1));
}

} // namespace Apricothook
