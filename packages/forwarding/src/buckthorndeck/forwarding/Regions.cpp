#include "buckthorndeck/forwarding/Regions.h"

#include "buckthorndeck/base/Log.h"

#include <algorithm>

namespace buckthorndeck::forwarding {

RegionTable::RegionTable(const std::map<std::string, RegionName> &Regions) {
  for (const auto &[Domain, Region] : Regions) {
    const auto Known = std::find(Names.begin(), Names.end(), Region);
    const auto Number = static_cast<std::size_t>(Known - Names.begin());
    if (Known == Names.end()) {
      if (Names.size() == MaxRegions) {
        log(LogLevel::Error, "region_ignored",
            {{"field", "regions"},
             {"failure_domain", Domain},
             {"region", Region.value()},
             {"most_regions", MaxRegions}});
        continue;
      }
      Names.push_back(Region);
    }
    ByDomain[Domain] = RegionMask{1} << Number;
  }
}

RegionMask RegionTable::regionOf(const FailureDomainName &Domain) const {
  const auto Found = ByDomain.find(Domain.value());
  return Found == ByDomain.end() ? 0 : Found->second;
}

RegionMask RegionTable::allowed(std::span<const RegionName> Allowed) const {
  if (Allowed.empty())
    return AllRegions;
  RegionMask Result = 0;
  for (std::size_t Number = 0; Number < Names.size(); ++Number)
    if (std::find(Allowed.begin(), Allowed.end(), Names[Number]) !=
        Allowed.end())
      Result |= RegionMask{1} << Number;
  return Result;
}

bool RegionTable::contains(const RegionName &Region) const {
  return std::find(Names.begin(), Names.end(), Region) != Names.end();
}

} // namespace buckthorndeck::forwarding
