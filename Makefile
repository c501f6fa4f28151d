# Entry points for people and CI; the build itself is meson's.

BUILD ?= build
DEPLOYMENT ?= heshima

.PHONY: all install-deps build check demo format lint sanitize clean

all: build

install-deps:
	@scripts/install-deps.sh

$(BUILD)/build.ninja: | install-deps
	@meson setup $(BUILD) >$(BUILD)-setup.log 2>&1 \
	  || { cat $(BUILD)-setup.log; exit 1; }
	@rm -f $(BUILD)-setup.log

build: install-deps $(BUILD)/build.ninja
	@ninja -C $(BUILD) --quiet

# Formatter, linters and all tests, also under ASan and UBSan.
check:
	@scripts/check.sh

demo: build
	@scripts/demo.sh $(DEPLOYMENT)

format:
	@git ls-files -co --exclude-standard '*.c' '*.h' | grep -v peer_xdr | xargs clang-format -i

lint: build
	@scripts/lint.sh $(BUILD)

clean:
	rm -rf build build-*
