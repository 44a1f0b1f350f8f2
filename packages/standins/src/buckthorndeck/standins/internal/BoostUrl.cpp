// Debian's libboost1.81-dev has the headers of Boost.URL but not its library,
// so the implementation is compiled here, once.
#include <boost/url/src.hpp>
