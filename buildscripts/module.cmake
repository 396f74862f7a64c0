# Declares the library of one module.
# catkinmoor_module(NAME SOURCES file... LINKS target...)
function(catkinmoor_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(${name} PUBLIC ${ARG_LINKS})
endfunction()

# Declares one test program of a module, registered with CTest.
# catkinmoor_test(NAME SOURCES file... LINKS target...)
function(catkinmoor_test name)
  if(NOT CATKINMOOR_BUILD_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  pkg_check_modules(CRITERION REQUIRED IMPORTED_TARGET criterion)
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_LINKS} PkgConfig::CRITERION)
  # One at a time: the process tests need the machine to themselves.
  add_test(NAME ${name} COMMAND ${name} --jobs 1)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()

# Declares one installed program.
# catkinmoor_program(NAME SOURCES file... LINKS target...)
function(catkinmoor_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_compile_definitions(${name} PRIVATE CATKINMOOR_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${name} PRIVATE ${ARG_LINKS} CLI11::CLI11)
  install(TARGETS ${name} RUNTIME DESTINATION bin)
endfunction()
