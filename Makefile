# make            build/dandelionspar and the test tools
# make demo       whole path on loopback with real processes
# make check      formatter, linter, unit, differential and integration tests
# make sanitize   all tests with AddressSanitizer and UBSan
# make bench      measurements with a baseline beside each figure
# make proto      regenerate src/proto (the generated code is committed)

BUILD ?= build
CC ?= gcc
CXX ?= g++
PKGS = glib-2.0 jansson libprotobuf-c libzmq libcurl libxxhash libevent libevent_pthreads zlib
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null)
WARN = -Wall -Wextra -Werror -Wno-missing-field-initializers
OPT ?= -O2 -g
# The same results of floating-point code on all processors.
FP = -ffp-contract=off
COMMON = $(OPT) $(WARN) $(FP) -D_GNU_SOURCE -Isrc -I. -Itests/tools $(PKG_CFLAGS) -MMD -MP -pthread $(SAN)
CFLAGS = -std=gnu11 $(COMMON) -Wmissing-prototypes -Wdeclaration-after-statement
CXXFLAGS = -std=c++17 $(COMMON)
LIBS = -lcivetweb -lhttp_parser $(PKG_LIBS) -lstdc++ -lm -ldl -pthread $(SAN)

LIB_SRC := $(filter-out src/cli/main.c,$(wildcard src/*/*.c)) \
	$(wildcard platform/*.c)
LIB_OBJ := $(LIB_SRC:%.c=$(BUILD)/%.o) $(patsubst %.cc,$(BUILD)/%.o,$(wildcard src/*/*.cc))
TOOL_LIB_SRC := $(wildcard tests/tools/lib_*.c)
TOOL_LIB_OBJ := $(TOOL_LIB_SRC:%.c=$(BUILD)/%.o)
TOOL_SRC := $(filter-out $(TOOL_LIB_SRC),$(wildcard tests/tools/*.c))
TOOLS := $(TOOL_SRC:tests/tools/%.c=$(BUILD)/%)
# tests/unit: one program each, no processes; tests/integration: real processes.
UNIT_SRC := $(wildcard tests/unit/*.cc)
INTEGRATION_SRC := $(wildcard tests/integration/*.cc)
TESTS := $(UNIT_SRC:tests/unit/%.cc=$(BUILD)/unit/%) \
	$(INTEGRATION_SRC:tests/integration/%.cc=$(BUILD)/integration/%)
FORMAT_SRC := $(shell find src platform tests -name '*.[ch]' -o -name '*.cc' | grep -v pb-c)
LINT_SRC := $(filter-out src/proto/%,$(wildcard src/*/*.c)) \
	$(wildcard platform/*.c) $(wildcard tests/tools/*.c)

.PHONY: all tests deps demo check sanitize bench proto format format-check lint test clean
.SECONDARY:

all: $(BUILD)/dandelionspar $(TOOLS)

tests: $(TESTS) $(BUILD)/cut_connect.so

deps:
	@bash .ci/install-packages

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -c $< -o $@

$(BUILD)/src/proto/%.o: src/proto/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -Wno-error -w -c $< -o $@

$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CXXFLAGS) -c $< -o $@

$(BUILD)/libdandelionspar.a: $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/libtools.a: $(TOOL_LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/dandelionspar: $(BUILD)/src/cli/main.o $(BUILD)/libdandelionspar.a
	$(CC) $^ -o $@ $(LIBS)

$(TOOLS): $(BUILD)/%: $(BUILD)/tests/tools/%.o $(BUILD)/libtools.a $(BUILD)/libdandelionspar.a
	$(CC) $^ -o $@ $(LIBS)

$(BUILD)/unit/%: $(BUILD)/tests/unit/%.o $(BUILD)/libtools.a $(BUILD)/libdandelionspar.a
	@mkdir -p $(@D)
	$(CXX) $^ -o $@ -lgmock -lgtest -lgtest_main $(LIBS)

$(BUILD)/integration/%: $(BUILD)/tests/integration/%.o $(BUILD)/libtools.a $(BUILD)/libdandelionspar.a
	@mkdir -p $(@D)
	$(CXX) $^ -o $@ -lgmock -lgtest -lgtest_main $(LIBS)

$(BUILD)/%.so: tests/preload/%.c
	@mkdir -p $(@D)
	$(CC) -std=gnu11 $(OPT) $(WARN) -D_GNU_SOURCE -fPIC -shared $< -o $@ -ldl

proto:
	cd src/proto && protoc-c --c_out=. messages.proto

format:
	clang-format -i $(FORMAT_SRC)

format-check:
	@clang-format --dry-run -Werror $(FORMAT_SRC)

lint:
	@printf '%s\n' $(LINT_SRC) | xargs -P $$(nproc) -I{} \
		clang-tidy --quiet {} -- -std=gnu11 -D_GNU_SOURCE -Isrc -I. -Itests/tools $(PKG_CFLAGS)

demo: deps
	@$(MAKE) --no-print-directory -j$$(nproc) all >/dev/null
	@$(BUILD)/demo

check: deps
	@bash .ci/check

sanitize: deps
	@$(MAKE) --no-print-directory -j$$(nproc) all tests BUILD=build-sanitize \
		OPT="-O1 -g" SAN="-fsanitize=address,undefined -fno-omit-frame-pointer" >/dev/null
	@BUILD=build-sanitize bash .ci/run-tests

bench: deps
	@$(MAKE) --no-print-directory -j$$(nproc) all >/dev/null
	@bash tests/bench.sh

clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
