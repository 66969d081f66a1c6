#include <cstdio>

int main() {
    std::puts("samphiretray " SAMPHIRETRAY_VERSION);
    return 0;
}
