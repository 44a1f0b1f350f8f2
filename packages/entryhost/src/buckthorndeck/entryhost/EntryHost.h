#ifndef BUCKTHORNDECK_ENTRYHOST_ENTRYHOST_H
#define BUCKTHORNDECK_ENTRYHOST_ENTRYHOST_H

#include "buckthorndeck/base/Error.h"
#include "buckthorndeck/entryhost/Settings.h"
#include "buckthorndeck/net/Task.h"

#include <memory>

namespace buckthorndeck::entryhost {

//! An entry host that executes callers' requests: its sockets, peers, backend
//! servers and flows.
class EntryHost {
public:
  //! Binds every address of the settings. The host serves once run() starts.
  static Expected<std::unique_ptr<EntryHost>> start(const Executor &Where,
                                                    Settings Options);
  ~EntryHost();

  //! Serves until stop() has ended.
  Task<> run();

  /**
   * Stops gracefully: hands flows over to peers, waits until its tokens have
   * expired and their requests have ended, and announces that it has left.
   */
  Task<> stop();

private:
  struct Impl;
  explicit EntryHost(std::unique_ptr<Impl> Implementation);

  std::unique_ptr<Impl> Implementation;
};

} // namespace buckthorndeck::entryhost

#endif // BUCKTHORNDECK_ENTRYHOST_ENTRYHOST_H
