# Checks the Promela models in the build folder; they take spin and a C compiler only.
add_test(NAME model COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-model ${CMAKE_BINARY_DIR}/model)
set_tests_properties(model PROPERTIES TIMEOUT 600)
