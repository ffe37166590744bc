#pragma once

#include <apricothook/model/apricothook_fleet_text.hpp>

#include <vector>

namespace Apricothook {

class ObjectReader;
struct TextReferences;

/*
 * One reader per section of the fleet text, each in its own file. They take the reader of the
 * text's root, collect errors in it and add to the references what later sections refer to. They
 * are declared in the order in which they must be called.
 */

Policy readPolicy(ObjectReader &root);
std::vector<DataCentre> readDataCentres(ObjectReader &root, TextReferences &references);
std::vector<RosterEntry> readRoster(ObjectReader &root, TextReferences &references);
std::vector<Model> readModels(ObjectReader &root, TextReferences &references);
std::vector<Service> readServices(ObjectReader &root, TextReferences &references);
std::vector<Target> readTargets(ObjectReader &root, TextReferences &references);
std::vector<Customer> readCustomers(ObjectReader &root, TextReferences &references);
std::vector<RequestClass> readClasses(ObjectReader &root, TextReferences &references,
                                      Duration deduplicationWindow);

} // namespace Apricothook
