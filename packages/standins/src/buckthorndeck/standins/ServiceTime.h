#ifndef BUCKTHORNDECK_STANDINS_SERVICETIME_H
#define BUCKTHORNDECK_STANDINS_SERVICETIME_H

#include "buckthorndeck/base/Random.h"

#include <cstdint>

namespace buckthorndeck::standins {

//! How service times are drawn.
enum class TimeDistribution : std::uint8_t {
  Fixed,       //!< Always the mean.
  Exponential, //!< Many short and few long times.
  LogNormal,   //!< Like Exponential, with a spread that can be set.
};

struct ServiceTime {
  TimeDistribution Distribution = TimeDistribution::Fixed;
  double MeanMs = 0;
  double Sigma = 1; //!< Spread of LogNormal.
};

//! Draws one service time, in ms.
double drawMs(const ServiceTime &Time, RandomEngine &Engine);

} // namespace buckthorndeck::standins

#endif // BUCKTHORNDECK_STANDINS_SERVICETIME_H
