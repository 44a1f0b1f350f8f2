#ifndef BUCKTHORNDECK_FORWARDING_REGIONS_H
#define BUCKTHORNDECK_FORWARDING_REGIONS_H

#include "buckthorndeck/base/Ids.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace buckthorndeck::forwarding {

//! A set of regions, one bit each; 0 is none.
using RegionMask = std::uint64_t;
//! The route allows servers of any region and of none.
inline constexpr RegionMask AllRegions = ~RegionMask{0};

/**
 * The regions of the failure domains, as numbers that placement compares.
 *
 * At most MaxRegions are told apart; failure domains of further regions are in
 * no region, so that a route never reaches a region that it does not allow.
 */
class RegionTable {
public:
  //! All bits but one, so that no set of known regions equals AllRegions.
  static constexpr std::size_t MaxRegions = 63;

  RegionTable() = default;
  //! Regions maps failure domains to their regions.
  explicit RegionTable(const std::map<std::string, RegionName> &Regions);

  //! The region of a failure domain; 0 if it has none.
  RegionMask regionOf(const FailureDomainName &Domain) const;
  //! The regions that a route allows; AllRegions if Allowed is empty.
  RegionMask allowed(std::span<const RegionName> Allowed) const;
  bool contains(const RegionName &Region) const;

private:
  std::map<std::string, RegionMask> ByDomain;
  std::vector<RegionName> Names; //!< By number of the bit.
};

} // namespace buckthorndeck::forwarding

#endif // BUCKTHORNDECK_FORWARDING_REGIONS_H
