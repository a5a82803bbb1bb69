find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json)
find_package(OpenSSL REQUIRED)
if(JUJUBE_ALL)
    find_package(Catch2 2 REQUIRED)
    include(Catch)
endif()

# Compile options shared by all targets of this project. Third-party headers are included as system
# headers, which suppresses their warnings.
add_library(jujube_options INTERFACE)
target_compile_features(jujube_options INTERFACE cxx_std_20)
target_compile_options(jujube_options INTERFACE -Wall -Wextra -Werror -Wno-missing-field-initializers)
target_compile_definitions(jujube_options INTERFACE
    ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE BOOST_ASIO_NO_DEPRECATED
    BOOST_ASIO_DISABLE_IO_URING JUJUBE_VERSION="${PROJECT_VERSION}")
target_include_directories(jujube_options INTERFACE ${CMAKE_SOURCE_DIR}/Libraries ${CMAKE_SOURCE_DIR}/Tests)
target_link_libraries(jujube_options INTERFACE Threads::Threads)

# GCC 12 reports false positives inside Boost's and the standard library's templates when it
# optimises coroutines.
target_compile_options(jujube_options INTERFACE
    -Wno-maybe-uninitialized -Wno-stringop-overflow -Wno-array-bounds -Wno-stringop-overread
    -Wno-restrict -Wno-dangling-pointer -Wno-free-nonheap-object -Wno-mismatched-new-delete)

# jujube_library(NAME SOURCES a.cpp b.cpp LINK LibX ...)
function(jujube_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_link_libraries(${name} PUBLIC jujube_options ${ARG_LINK})
endfunction()

# jujube_program(NAME SOURCES main.cpp LINK LibX ...)
function(jujube_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE jujube_options ${ARG_LINK})
endfunction()

# jujube_tests(NAME SOURCES TestA.cpp TestB.cpp LINK LibX ...): one Catch2 program, with one ctest
# entry per test case.
function(jujube_tests name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE jujube_options Catch2::Catch2WithMain ${ARG_LINK})
    catch_discover_tests(${name} TEST_PREFIX "${name}: " PROPERTIES TIMEOUT 300)
endfunction()
