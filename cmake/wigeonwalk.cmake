# Build rules shared by all folders.

# Flags of every target: warnings are errors, system Boost.Asio without its
# deprecated parts, sanitizers as configured.
add_library(ww_flags INTERFACE)
target_include_directories(ww_flags INTERFACE ${PROJECT_SOURCE_DIR})
target_compile_options(ww_flags INTERFACE -Wall -Wextra -Werror -Wshadow)
# g++ 12 reports false positives for coroutine frames and inlined strings.
target_compile_options(ww_flags INTERFACE -Wno-mismatched-new-delete
  -Wno-maybe-uninitialized -Wno-restrict -Wno-stringop-overflow
  -Wno-array-bounds -Wno-missing-field-initializers)
target_compile_definitions(ww_flags INTERFACE BOOST_ASIO_NO_DEPRECATED
  SPDLOG_FMT_EXTERNAL)
# The standard library checks its preconditions, such as those of optional.
target_compile_definitions(ww_flags INTERFACE
  $<$<CONFIG:Debug>:_GLIBCXX_ASSERTIONS>)
target_link_libraries(ww_flags INTERFACE Threads::Threads)
if(WIGEONWALK_SANITIZE STREQUAL "address")
  target_compile_options(ww_flags INTERFACE -fsanitize=address,undefined
    -fno-sanitize-recover=all -fno-omit-frame-pointer)
  target_link_options(ww_flags INTERFACE -fsanitize=address,undefined)
elseif(WIGEONWALK_SANITIZE STREQUAL "thread")
  target_compile_options(ww_flags INTERFACE -fsanitize=thread -Wno-tsan)
  target_link_options(ww_flags INTERFACE -fsanitize=thread)
endif()

if(WIGEONWALK_TESTS)
  add_library(ww_catch_main STATIC ${PROJECT_SOURCE_DIR}/cmake/catch_main.cc)
  target_link_libraries(ww_catch_main PUBLIC ww_flags Catch2::Catch2)
endif()

# ww_folder(NAME DEPS ... TEST_DEPS ...)
# Makes library ww_NAME from the folder's .cc files, one test program NAME_test
# from its *_test.cc files, and one program from each *_benchmark.cc file.
function(ww_folder NAME)
  cmake_parse_arguments(ARG "" "" "DEPS;TEST_DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc internal/*.cc)
  set(tests ${sources})
  list(FILTER tests INCLUDE REGEX "_test\\.cc$")
  set(benchmarks ${sources})
  list(FILTER benchmarks INCLUDE REGEX "_benchmark\\.cc$")
  list(FILTER sources EXCLUDE REGEX "(_test|_benchmark)\\.cc$")
  if(sources)
    add_library(ww_${NAME} STATIC ${sources})
    target_link_libraries(ww_${NAME} PUBLIC ww_flags ${ARG_DEPS})
  else()
    add_library(ww_${NAME} INTERFACE)
    target_link_libraries(ww_${NAME} INTERFACE ww_flags ${ARG_DEPS})
  endif()
  if(NOT WIGEONWALK_TESTS)
    return()
  endif()
  if(tests)
    add_executable(${NAME}_test ${tests})
    target_link_libraries(${NAME}_test PRIVATE ww_${NAME} ww_catch_main
      trompeloeil::trompeloeil ${ARG_TEST_DEPS})
    catch_discover_tests(${NAME}_test TEST_PREFIX "${NAME}: "
      DISCOVERY_MODE PRE_TEST)
  endif()
  foreach(file ${benchmarks})
    get_filename_component(program ${file} NAME_WE)
    add_executable(${program} ${file})
    target_link_libraries(${program} PRIVATE ww_${NAME} benchmark::benchmark
      ${ARG_TEST_DEPS})
  endforeach()
endfunction()
