# Digest of the sources that programs are built from: SHA-256 over the paths and contents of the build
# files and of all code outside tests, so that it is the same in every checkout of a commit.
#
#   cmake -P source_digest.cmake                prints the digest
#   cmake -DHEADER=FILE -P source_digest.cmake  writes it into a header, which is left alone if it is
#                                               up to date
cmake_minimum_required(VERSION 3.25)
get_filename_component(root "${CMAKE_CURRENT_LIST_DIR}/.." ABSOLUTE)
file(GLOB_RECURSE sources RELATIVE "${root}"
  "${root}/src/*.cc" "${root}/src/*.h" "${root}/src/CMakeLists.txt"
  "${root}/platform/*.cc" "${root}/platform/*.h" "${root}/platform/CMakeLists.txt")
list(FILTER sources EXCLUDE REGEX "/tests/")
list(APPEND sources CMakeLists.txt buildscripts/module.cmake buildscripts/source_digest.cmake)
list(SORT sources)
set(lines "")
foreach(source IN LISTS sources)
  file(SHA256 "${root}/${source}" digest)
  string(APPEND lines "${digest} ${source}\n")
endforeach()
string(SHA256 digest "${lines}")

if(NOT HEADER)
  execute_process(COMMAND "${CMAKE_COMMAND}" -E echo "${digest}")
  return()
endif()
set(text "#define CATKINMOOR_SOURCE_DIGEST \"${digest}\"\n")
set(former "")
if(EXISTS "${HEADER}")
  file(READ "${HEADER}" former)
endif()
if(NOT former STREQUAL text)
  file(WRITE "${HEADER}" "${text}")
endif()
