#include "buckthorndeck/standins/ServiceTime.h"

#include <cmath>

namespace buckthorndeck::standins {

double drawMs(const ServiceTime &Time, RandomEngine &Engine) {
  switch (Time.Distribution) {
  case TimeDistribution::Fixed:
    return Time.MeanMs;
  case TimeDistribution::Exponential:
    return -Time.MeanMs * std::log1p(-randomUnit(Engine));
  case TimeDistribution::LogNormal: {
    // Shifted so that the mean is MeanMs for any spread.
    std::normal_distribution<double> Normal(-Time.Sigma * Time.Sigma / 2,
                                            Time.Sigma);
    return Time.MeanMs * std::exp(Normal(Engine));
  }
  }
  return Time.MeanMs;
}

} // namespace buckthorndeck::standins
