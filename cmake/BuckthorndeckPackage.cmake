find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(prometheus-cpp REQUIRED CONFIG)
find_package(PkgConfig REQUIRED)
if(BUILD_TESTING)
  find_package(Catch2 2 REQUIRED)
endif()
pkg_check_modules(SODIUM REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules(LOG4CPLUS REQUIRED IMPORTED_TARGET log4cplus)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

add_library(buckthorndeck_options INTERFACE)
target_compile_options(buckthorndeck_options INTERFACE -Wall -Wextra -Wno-missing-field-initializers)
# g++ 12 gives false alarms (-Wrestrict) at the optimisation level of a deployment, which must not stop its build.
if(NOT BUCKTHORNDECK_DEPLOY)
  target_compile_options(buckthorndeck_options INTERFACE -Werror)
endif()
# g++ 12 takes the operator delete of some coroutine frames for a mismatched one, depending on the processor and on
# the optimisation level.
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU" AND CMAKE_CXX_COMPILER_VERSION VERSION_LESS 13)
  target_compile_options(buckthorndeck_options INTERFACE -Wno-mismatched-new-delete)
endif()
# One thread runs each process's io_context, so Asio's own locks are never contended.
target_compile_definitions(buckthorndeck_options INTERFACE BOOST_ASIO_NO_DEPRECATED
                                                           BUCKTHORNDECK_VERSION="${PROJECT_VERSION}")
if(BUCKTHORNDECK_SANITIZE)
  # g++ 12 reports <regex> as uninitialised when it instruments it; the plain build keeps the warning.
  target_compile_options(buckthorndeck_options INTERFACE -fsanitize=address,undefined -fno-sanitize-recover=all
                                                         -Wno-maybe-uninitialized)
  target_link_options(buckthorndeck_options INTERFACE -fsanitize=address,undefined)
endif()
if(BUCKTHORNDECK_FUZZ)
  target_compile_options(buckthorndeck_options INTERFACE -fsanitize=fuzzer-no-link,address,undefined
                                                         -fno-sanitize-recover=all)
  target_link_options(buckthorndeck_options INTERFACE -fsanitize=address,undefined)
endif()

# All test programs, for builds that need nothing else.
add_custom_target(tests)

# Declares the library `buckthorndeck_<name>` from src/ and its test program `<name>_tests` from tests/.
#   buckthorndeck_package(name DEPENDS other packages... LIBRARIES external targets...)
function(buckthorndeck_package Name)
  cmake_parse_arguments(Arg "" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB_RECURSE Sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/buckthorndeck/*.cpp)
  add_library(buckthorndeck_${Name} STATIC ${Sources})
  target_include_directories(buckthorndeck_${Name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/src)
  list(TRANSFORM Arg_DEPENDS PREPEND buckthorndeck_)
  target_link_libraries(buckthorndeck_${Name} PUBLIC buckthorndeck_options ${Arg_DEPENDS} ${Arg_LIBRARIES})

  file(GLOB TestSources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*Tests.cpp)
  if(BUILD_TESTING AND TestSources)
    add_executable(${Name}_tests ${TestSources} ${CMAKE_SOURCE_DIR}/cmake/TestMain.cpp)
    add_dependencies(tests ${Name}_tests)
    target_link_libraries(${Name}_tests PRIVATE buckthorndeck_${Name} Catch2::Catch2)
    add_test(NAME ${Name}_tests COMMAND ${Name}_tests --order rand --rng-seed 20261204)
    # Simulations take up to ten times as long with the sanitizers.
    set(Timeout 300)
    if(BUCKTHORNDECK_SANITIZE)
      set(Timeout 1800)
    endif()
    set_tests_properties(${Name}_tests PROPERTIES TIMEOUT ${Timeout})
  endif()
endfunction()

# Declares a fuzz target fuzz-<target> for each <target>.cpp of the current folder and the program
# write-<name>-inputs, which writes their first inputs. See tools/fuzz.
function(buckthorndeck_fuzz_targets Name)
  foreach(Target ${ARGN})
    add_executable(fuzz-${Target} ${Target}.cpp)
    target_link_options(fuzz-${Target} PRIVATE -fsanitize=fuzzer)
  endforeach()
  add_executable(write-${Name}-inputs write-inputs.cpp)
  list(TRANSFORM ARGN PREPEND fuzz- OUTPUT_VARIABLE Programs)
  foreach(Program ${Programs} write-${Name}-inputs)
    target_link_libraries(${Program} PRIVATE buckthorndeck_${Name})
  endforeach()
endfunction()
