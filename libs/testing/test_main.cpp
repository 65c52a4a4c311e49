// Entry point of every test program.
//
// CppUTest replaces operator new to look for leaks, which neither threads nor
// the sanitizers get along with; `make asan` looks for leaks instead.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
