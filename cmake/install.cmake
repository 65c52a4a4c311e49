# Installs what fennelladder_library() exported, the program, and the files
# that find_package(fennelladder) reads.
include(CMakePackageConfigHelpers)
set(package_folder lib/cmake/fennelladder)
configure_file(cmake/fennelladder-config.cmake.in
  ${CMAKE_BINARY_DIR}/fennelladder-config.cmake COPYONLY)
write_basic_package_version_file(
  ${CMAKE_BINARY_DIR}/fennelladder-config-version.cmake
  COMPATIBILITY SameMinorVersion)
install(EXPORT fennelladder-targets NAMESPACE fennelladder::
  DESTINATION ${package_folder})
install(FILES ${CMAKE_BINARY_DIR}/fennelladder-config.cmake
  ${CMAKE_BINARY_DIR}/fennelladder-config-version.cmake
  DESTINATION ${package_folder})
install(TARGETS fennelladder RUNTIME DESTINATION bin)
