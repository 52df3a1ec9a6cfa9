# catkintack_module(NAME LIBS ...): adds a static library built from src/catkintack/NAME and its unit
# tests.
add_library(catkintack_flags INTERFACE)
target_compile_options(catkintack_flags INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wconversion
                       -Wno-sign-conversion -Werror)
# False positive of g++ 12: it assumes that the frames of Asio's coroutines were not allocated by
# Asio.
target_compile_options(catkintack_flags INTERFACE
                       $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
target_compile_definitions(catkintack_flags INTERFACE CATKINTACK_VERSION="${PROJECT_VERSION}")
target_include_directories(catkintack_flags INTERFACE ${PROJECT_SOURCE_DIR}/include)

# catkintack_tests(TARGET LIBS SOURCES...): adds a GoogleTest program and registers each of its tests
# with ctest.
function(catkintack_tests target libs)
  add_executable(${target} ${ARGN})
  target_link_libraries(${target} PRIVATE catkintack_flags ${libs} GTest::gmock GTest::gtest
                        GTest::gtest_main rapidcheck)
  target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR}/src
                             ${PROJECT_SOURCE_DIR}/tests)
  gtest_discover_tests(${target} DISCOVERY_TIMEOUT 60 PROPERTIES TIMEOUT 300
                       ENVIRONMENT "RC_PARAMS=seed=20261203")
endfunction()

function(catkintack_module name)
  cmake_parse_arguments(ARG "" "" "LIBS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/catkintack/${name}/*.cpp)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  add_library(catkintack_${name} STATIC ${sources})
  target_link_libraries(catkintack_${name} PUBLIC ${ARG_LIBS} PRIVATE catkintack_flags)
  target_include_directories(catkintack_${name} PUBLIC ${PROJECT_SOURCE_DIR}/include
                             PRIVATE ${PROJECT_SOURCE_DIR}/src)
  if(tests AND NOT CATKINTACK_PLATFORM_ONLY)
    catkintack_tests(${name}_test catkintack_${name} ${tests})
  endif()
endfunction()
