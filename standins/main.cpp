#include <cstdio>

int main() {
    std::puts("samphiretray-standins " SAMPHIRETRAY_VERSION);
    return 0;
}
