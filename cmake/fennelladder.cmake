# fennelladder_library(NAME [DEPENDS lib...] [LINK external...] [APART test...])
#
# Defines the library fennelladder_NAME from every .cpp beside the calling
# CMakeLists.txt (and below generated/), and the test program test_NAME from
# every *_test.cpp there. Public headers live in include/fennelladder/NAME/.
# DEPENDS names other libraries of this project, LINK external ones. Each test
# in APART, from TEST_test.cpp, is the program test_NAME_TEST instead. The
# library and its headers are installed (see install.cmake).

add_library(fennelladder_options INTERFACE)
target_compile_options(fennelladder_options INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow=local -Werror
  -Wno-missing-field-initializers)
if(FENNELLADDER_SANITIZE)
  # Instrumented code makes GCC warn of uninitialized values in headers that
  # have none.
  target_compile_options(fennelladder_options INTERFACE
    -fsanitize=${FENNELLADDER_SANITIZE} -fno-omit-frame-pointer
    -Wno-maybe-uninitialized)
  target_link_options(fennelladder_options INTERFACE
    -fsanitize=${FENNELLADDER_SANITIZE})
endif()
# Assertions state invariants; they stay on in every build.
add_compile_options(-UNDEBUG)
# Those of Boost go to libs/base/boost_assertion.cpp, which passes over what
# its parser of HTTP asserts about bytes from outside.
add_compile_definitions(BOOST_ENABLE_ASSERT_HANDLER)

function(fennelladder_library name)
  cmake_parse_arguments(arg "" "" "DEPENDS;LINK;TEST_DEPENDS;APART" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  file(GLOB generated CONFIGURE_DEPENDS generated/*.cpp)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  set(target fennelladder_${name})
  add_library(${target} STATIC ${sources} ${generated})
  add_library(fennelladder::${name} ALIAS ${target})
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
  target_compile_features(${target} PUBLIC cxx_std_20)
  target_include_directories(${target}
    PUBLIC $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/include>
           $<INSTALL_INTERFACE:include>
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  if(generated)
    set_source_files_properties(${generated} PROPERTIES COMPILE_OPTIONS -w)
    target_include_directories(${target} SYSTEM PRIVATE
      ${CMAKE_CURRENT_SOURCE_DIR}/generated)
  endif()
  target_link_libraries(${target}
    PRIVATE $<BUILD_INTERFACE:fennelladder_options>)
  foreach(lib IN LISTS arg_DEPENDS)
    target_link_libraries(${target} PUBLIC fennelladder_${lib})
  endforeach()
  target_link_libraries(${target} PUBLIC ${arg_LINK})
  install(TARGETS ${target} EXPORT fennelladder-targets
    ARCHIVE DESTINATION lib)
  set(headers ${CMAKE_SOURCE_DIR}/include/fennelladder/${name})
  if(IS_DIRECTORY ${headers})
    install(DIRECTORY ${headers} DESTINATION include/fennelladder)
  endif()
  # library_test(PROGRAM source...)
  function(library_test program)
    add_executable(test_${program} ${ARGN})
    target_include_directories(test_${program}
      PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    if(generated)
      target_include_directories(test_${program} SYSTEM PRIVATE
        ${CMAKE_CURRENT_SOURCE_DIR}/generated)
    endif()
    target_link_libraries(test_${program} PRIVATE
      ${target} fennelladder_testing fennelladder_options)
    foreach(lib IN LISTS arg_TEST_DEPENDS)
      target_link_libraries(test_${program} PRIVATE fennelladder_${lib})
    endforeach()
    add_test(NAME ${program} COMMAND test_${program}
      WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
    set_tests_properties(${program} PROPERTIES TIMEOUT 300)
  endfunction()
  if(tests AND FENNELLADDER_TESTS)
    foreach(test IN LISTS arg_APART)
      list(REMOVE_ITEM tests ${CMAKE_CURRENT_SOURCE_DIR}/${test}_test.cpp)
      library_test(${name}_${test} ${test}_test.cpp)
    endforeach()
    library_test(${name} ${tests})
  endif()
endfunction()
