#ifndef BUCKTHORNDECK_ENTRYHOST_ENTRYHOST_H
#define BUCKTHORNDECK_ENTRYHOST_ENTRYHOST_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/entryhost/Settings.h"
#include "buckthorndeck/net/Task.h"

#include <memory>

namespace buckthorndeck::entryhost {

//! One entry host: its sockets, its peers, its servers and its flows.
class EntryHost {
public:
  //! Binds every address of the settings. The host serves once run() starts.
  static Expected<std::unique_ptr<EntryHost>> start(const Executor &Where,
                                                    Settings Options);
  ~EntryHost();

  //! Serves until stop() has ended.
  Task<> run();

  /**
   * Stops gracefully: hands flows on, finishes all requests under the tokens
   * it issued, announces that it left.
   */
  Task<> stop();

private:
  struct Parts;
  explicit EntryHost(std::unique_ptr<Parts> Owned);

  std::unique_ptr<Parts> Owned;
};

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_ENTRYHOST_H
