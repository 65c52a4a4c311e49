# Installs the build to an empty folder, builds examples/embed against that
# alone, and runs it. Needs no network.
#   cmake -DSOURCE=... -DBUILD=... -DCXX_FLAGS=... -P test_install.cmake
foreach(name SOURCE BUILD)
  if(NOT DEFINED ${name})
    message(FATAL_ERROR "${name} is not set")
  endif()
endforeach()
set(work ${BUILD}/install-test)
file(REMOVE_RECURSE ${work})

function(run)
  execute_process(COMMAND ${ARGN} RESULT_VARIABLE code OUTPUT_VARIABLE text
    ERROR_VARIABLE text)
  if(NOT code EQUAL 0)
    message(FATAL_ERROR "${ARGN}: ${code}\n${text}")
  endif()
endfunction()

run(${CMAKE_COMMAND} --install ${BUILD} --prefix ${work}/prefix)
# A separate copy, so that nothing of the source tree is found by chance.
file(COPY ${SOURCE}/examples/embed DESTINATION ${work})
run(${CMAKE_COMMAND} -S ${work}/embed -B ${work}/build
  -DCMAKE_PREFIX_PATH=${work}/prefix -DCMAKE_CXX_FLAGS=${CXX_FLAGS})
run(${CMAKE_COMMAND} --build ${work}/build)
run(${work}/build/fennelladder_embed)
